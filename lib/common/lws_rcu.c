#include "lws_rcu.h"

#ifdef LWS_TSAN
char lws_rcu_grace;
#endif
