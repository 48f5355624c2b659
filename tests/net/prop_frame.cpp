// Encoding and decoding of frames: round trips, and truncated or altered input.
#include <rapidcheck.h>

#include <string>
#include <vector>

extern "C"
{
#include "frame.h"
}

static mt_str
view (const std::string &s)
{
  return mt_str{ s.data (), s.size () };
}

static std::string
encode (unsigned type, const std::string &sender, const std::string &body)
{
  size_t len = 0;
  char *bytes = mt_frame_encode (type, view (sender), view (body), &len);
  std::string out (bytes, len);

  g_free (bytes);
  return out;
}

int
main ()
{
  bool ok = true;

  ok &= rc::check ("a decoded frame equals the encoded one", [] {
    const auto type = *rc::gen::inRange (1u, 16u);
    const auto body = *rc::gen::arbitrary<std::string> ();
    const std::string encoded = encode (type, "sender", body);
    mt_frame frame;
    size_t len = 0;

    RC_ASSERT (mt_frame_length (encoded.data (), &len, nullptr));
    RC_ASSERT (len + MT_FRAME_HEADER_BYTES == encoded.size ());
    RC_ASSERT (
        mt_frame_decode (mt_str{ encoded.data () + MT_FRAME_HEADER_BYTES, len }, &frame, nullptr));
    RC_ASSERT (frame.type == type);
    RC_ASSERT (mt_str_equal (frame.body, view (body)));
    RC_ASSERT (mt_str_equal (frame.sender, MT_STR ("sender")));
  });
  ok &= rc::check ("a truncated or altered frame is refused, or decoded within its bounds", [] {
    std::string payload = encode (1, "sender", *rc::gen::arbitrary<std::string> ()).substr (4);
    const auto at = *rc::gen::inRange<size_t> (0, payload.size ());
    GError *error = nullptr;
    mt_frame frame;

    if (*rc::gen::arbitrary<bool> ())
      payload.resize (at);
    else
      payload[at] = *rc::gen::arbitrary<char> ();
    if (mt_frame_decode (view (payload), &frame, &error))
      RC_ASSERT (frame.body.data + frame.body.len <= payload.data () + payload.size ());
    else
      RC_ASSERT (error != nullptr);
    g_clear_error (&error);
  });
  return ok ? 0 : 1;
}
