#include "medlartrack/store.h"

void
mt_store_value_clear (struct mt_store_value *value)
{
  g_free (value->data);
  g_free (value->key);
  *value = (struct mt_store_value){ 0 };
}

void
mt_store_value_free (gpointer value)
{
  mt_store_value_clear (value);
  g_free (value);
}
