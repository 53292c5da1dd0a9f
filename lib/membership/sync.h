#ifndef SYNC_H
#define SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "wire.h"

/**
 * DOC: Keeping every instance's copy of the fleet's state fresh.
 *
 * An instance asks its parent for what came after its last index and sends
 * its own time along. The parent answers once its own state is confirmed as
 * of a time at or after the arrival of the question; so the child knows that
 * it holds everything that was accepted before it asked. The leader's state
 * is confirmed by acknowledgements of a majority, a relay's by its own
 * parent. Only own clocks are used. Any instance can serve others, so a tree
 * by region and failure domain needs nothing new.
 */

#define SYNC_LOG_ENTRIES 512
#define SYNC_PENDING_MAX 2048
#define SYNC_SMALL_BYTES (64U * 1024U)
/* Commands above this are kept in their light form only. */
#define SYNC_KEPT_BYTES (16U * 1024U)

/* The asking side */

/**
 * struct sync_client - copy of the state at one instance
 * @poll_us: pause between two questions
 * @timeout_us: silence after which another parent is tried
 * @asked_us: when the running question was sent, 0 for none
 * @done_us: when the last question ended
 * @confirmed_us: everything accepted before this time is held here
 */
struct sync_client {
	uint64_t poll_us;
	uint64_t timeout_us;
	uint64_t asked_us;
	uint64_t done_us;
	uint64_t confirmed_us;
};

enum sync_step {
	SYNC_WAIT,
	SYNC_ASK,
	SYNC_NEXT_PARENT,
};

/** sync_client_step() - what to do now */
enum sync_step sync_client_step(struct sync_client *c, uint64_t now_us);

/** sync_client_asked() - the question was sent */
void sync_client_asked(struct sync_client *c, uint64_t now_us);

/** sync_client_lost() - the parent is gone */
void sync_client_lost(struct sync_client *c, uint64_t now_us);

/**
 * sync_client_reply() - an answer came and was applied
 * @c: client
 * @now_us: time
 * @stamp_us: stamp of the question, 0 for a push
 * @confirmed: the parent confirmed
 */
void sync_client_reply(struct sync_client *c, uint64_t now_us,
		       uint64_t stamp_us, bool confirmed);

/* The answering side: commands applied lately */

struct sync_log;

/** sync_log_create() - an empty log; NULL without memory */
struct sync_log *sync_log_create(void *mem_ctx);

/**
 * sync_log_push() - note an applied entry
 * @log: log
 * @index: its index
 * @data: the command
 * @len: bytes of @data; 0: it held no command
 * @light: what instances without a data folder get instead, NULL for the same
 * @light_len: bytes of @light
 *
 * A large command is kept in its light form only; others get the whole state.
 */
void sync_log_push(struct sync_log *log, uint64_t index, const uint8_t *data,
		   uint32_t len, const uint8_t *light, uint32_t light_len);

/** sync_log_clear() - the state was replaced by a snapshot */
void sync_log_clear(struct sync_log *log);

/**
 * sync_log_fill() - put into a reply what the child lacks
 * @log: log
 * @fleet: own state, sent whole when the log does not reach back
 * @have_index: what the child has
 * @light: the child has no data folder
 * @mem_ctx: talloc parent of what is put into the reply
 * @reply: entries or snapshot are set
 */
void sync_log_fill(const struct sync_log *log, const struct fleet *fleet,
		   uint64_t have_index, bool light, void *mem_ctx,
		   struct wire_sync_reply *reply);

/* The answering side: questions that wait for a confirmation */

/**
 * struct sync_question - a question of a child
 * @child: the caller's pointer for the child
 * @have_index: what it has
 * @stamp_us: its time, given back
 * @arrived_us: own time of arrival
 */
struct sync_question {
	void *child;
	uint64_t have_index;
	uint64_t stamp_us;
	uint64_t arrived_us;
};

struct sync_questions {
	uint32_t count;
	struct sync_question list[SYNC_PENDING_MAX];
};

/** sync_questions_add() - one question a child; a newer replaces the older */
int sync_questions_add(struct sync_questions *q,
		       const struct sync_question *question);

/** sync_questions_drop() - the child is gone */
void sync_questions_drop(struct sync_questions *q, const void *child);

/**
 * sync_questions_take() - take one that can be answered
 * @q: questions
 * @confirmed_us: own state is confirmed as of this time
 * @out: result
 *
 * Return: false when none can be answered yet.
 */
bool sync_questions_take(struct sync_questions *q, uint64_t confirmed_us,
			 struct sync_question *out);

#endif
