#ifndef LWS_RCU_H
#define LWS_RCU_H

#include <stdatomic.h>
#include <urcu/urcu-memb.h>

/**
 * DOC: Read-copy-update for request processing.
 *
 * A thin wrapper over liburcu. A snapshot that a reader gets between
 * lws_rcu_read_lock() and lws_rcu_read_unlock() stays valid until the unlock. A
 * writer publishes a new snapshot with release order and frees the old one
 * after lws_rcu_synchronize(). ThreadSanitizer cannot see the memory barriers
 * of liburcu, so builds with it annotate the end of a grace period explicitly.
 */

#if defined(__SANITIZE_THREAD__)
#define LWS_TSAN 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define LWS_TSAN 1
#endif
#endif

#ifdef LWS_TSAN
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
/* Only its address is used, to identify the grace period. */
extern char lws_rcu_grace;
#endif

static inline void lws_rcu_register(void)
{
	urcu_memb_register_thread();
}

static inline void lws_rcu_unregister(void)
{
	urcu_memb_unregister_thread();
}

static inline void lws_rcu_read_lock(void)
{
	urcu_memb_read_lock();
}

static inline void lws_rcu_read_unlock(void)
{
#ifdef LWS_TSAN
	__tsan_release(&lws_rcu_grace);
#endif
	urcu_memb_read_unlock();
}

static inline void lws_rcu_synchronize(void)
{
	urcu_memb_synchronize_rcu();
#ifdef LWS_TSAN
	__tsan_acquire(&lws_rcu_grace);
#endif
}

#define lws_rcu_publish(ptr, value) \
	atomic_store_explicit(ptr, value, memory_order_release)
#define lws_rcu_dereference(ptr) atomic_load_explicit(ptr, memory_order_acquire)

#endif
