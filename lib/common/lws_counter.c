#include "lws_counter.h"

static const char *const names[] = {
#define LWS_COUNTER_NAME(id, name) name,
	LWS_COUNTER_LIST(LWS_COUNTER_NAME)
#undef LWS_COUNTER_NAME
};

const char *lws_counter_name(enum lws_counter id)
{
	return names[id];
}
