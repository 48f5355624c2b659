/* Counts the frames of a server or client, without a lock. */
#ifndef MT_PEER_TRAFFIC_H
#define MT_PEER_TRAFFIC_H

#include "peer.h"

static inline void
mt_peer_traffic_add (struct mt_peer_traffic *traffic, size_t received, size_t sent)
{
  __atomic_add_fetch (&traffic->received, received, __ATOMIC_RELAXED);
  __atomic_add_fetch (&traffic->sent, sent, __ATOMIC_RELAXED);
  __atomic_add_fetch (&traffic->frames, 1, __ATOMIC_RELAXED);
}

static inline struct mt_peer_traffic
mt_peer_traffic_read (const struct mt_peer_traffic *traffic)
{
  return (struct mt_peer_traffic){ __atomic_load_n (&traffic->received, __ATOMIC_RELAXED),
                                   __atomic_load_n (&traffic->sent, __ATOMIC_RELAXED),
                                   __atomic_load_n (&traffic->frames, __ATOMIC_RELAXED) };
}

#endif
