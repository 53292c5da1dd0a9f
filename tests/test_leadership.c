#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "endpoint_call.h"
#include "leadership.h"
#include "line_codec.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "managed_failover.h"

/**
 * DOC: What belongs to one leadership of the control group ends with it: its
 * state, its fencing tokens, its commands to endpoints and their answers.
 */

#define MS LWS_US_PER_MS

/* State of a leadership */

struct step_case {
	const char *name;
	struct leadership_view view;
	enum leadership_step step;
};

static const struct step_case step_cases[] = {
	{ "follower", { false, 5, 0 }, LEADERSHIP_KEEP },
	{ "elected", { true, 5, 0 }, LEADERSHIP_BEGIN },
	{ "leads", { true, 5, 5 }, LEADERSHIP_KEEP },
	{ "deposed", { false, 6, 5 }, LEADERSHIP_END },
	{ "steps-down", { false, 5, 5 }, LEADERSHIP_END },
	/* Elected again before anyone looked. */
	{ "elected-again", { true, 7, 5 }, LEADERSHIP_RESTART },
};

static void test_step(gconstpointer data)
{
	const struct step_case *c = data;

	g_assert_cmpint(leadership_step(&c->view), ==, c->step);
}

/* Commands that change an endpoint. */
static void test_needs_lease(void)
{
	g_assert_false(leadership_needs_lease(COMMAND_STATUS));
	g_assert_true(leadership_needs_lease(COMMAND_PAUSE));
	g_assert_true(leadership_needs_lease(COMMAND_RESUME));
	g_assert_true(leadership_needs_lease(COMMAND_STEP_DOWN));
}

/* Fencing tokens of two holders */

#define HOLDERS 2
#define TOKENS_MAX 32
#define ORDER_EVENTS 6

enum outcome {
	OUTCOME_NONE,
	OUTCOME_COMMITTED,
	OUTCOME_REFUSED,
};

/* An instance that acts as the leader, whoever else does. */
struct holder {
	struct managed_failover *s;
	uint64_t proposed;
	enum outcome outcome;
	/* Answers of endpoints to this command are held back. */
	enum endpoint_command_kind held_back;
	bool answer_held;
	struct managed_failover_action held;
};

struct duel {
	uint64_t now_us;
	struct fleet_group agreed;
	struct holder h[HOLDERS];
	/* Holders that asked for a promotion with a token, as bits. */
	uint32_t promoted_by[TOKENS_MAX];
	uint32_t promotions;
	bool paused[2];
	/* Promotions are not sent, as the lease is not held. */
	bool without_lease;
	uint32_t resumed;
};

/* A group whose primary is gone, with two replicas. */
static void init_duel(struct duel *d, uint32_t holders)
{
	struct managed_failover_params params =
		managed_failover_params_default();

	*d = (struct duel){ .now_us = 1000 * MS };
	d->agreed = (struct fleet_group){ .term = 1,
					  .primary_term = 1,
					  .count = 2 };
	LWS_STR_COPY(d->agreed.name, "g");
	LWS_STR_COPY(d->agreed.primary, "e0");
	for (uint32_t i = 0; i < 2; i++) {
		snprintf(d->agreed.endpoint[i].id, FLEET_NAME_MAX, "e%u",
			 i + 1);
		d->agreed.endpoint[i].present = true;
	}
	for (uint32_t i = 0; i < holders; i++) {
		d->h[i].s = managed_failover_create(NULL, &params, d->now_us);
		managed_failover_set_domains(d->h[i].s, 3);
		managed_failover_set_group(d->h[i].s, d->now_us, &d->agreed, 0);
	}
}

static void clear_duel(struct duel *d)
{
	for (uint32_t i = 0; i < HOLDERS; i++)
		talloc_free(d->h[i].s);
}

static void answer(struct duel *d, struct holder *h,
		   const struct managed_failover_action *a)
{
	uint32_t e = (uint32_t)atoi(a->endpoint + 1) - 1;
	struct endpoint_status status = { .term = 1,
					  .received = { 1, 10 + e } };

	d->paused[e] |= a->command == COMMAND_PAUSE;
	if (a->command == COMMAND_RESUME) {
		d->paused[e] = false;
		d->resumed++;
	}
	if (d->paused[e])
		status.paused_below_term = 2;
	managed_failover_answered(h->s, d->now_us, a->endpoint, a->command,
				  a->fencing_token, &status, STATEMENT_E_NONE);
}

static void perform(struct duel *d, uint32_t i)
{
	struct holder *h = &d->h[i];
	struct managed_failover_action a;

	while (managed_failover_next_action(h->s, &a)) {
		switch (a.type) {
		case MANAGED_FAILOVER_COMMIT_TOKEN:
			h->proposed = a.fencing_token;
			h->outcome = OUTCOME_NONE;
			break;
		case MANAGED_FAILOVER_COMMAND:
			if (a.command == h->held_back &&
			    strcmp(a.endpoint, "e2") == 0) {
				h->held = a;
				h->answer_held = true;
				break;
			}
			answer(d, h, &a);
			break;
		case MANAGED_FAILOVER_COMMIT_CALL:
			managed_failover_call_proposed(
				h->s, d->now_us, a.fencing_token,
				a.fencing_token < d->agreed.term
					? LWS_E_VERSION_CONFLICT
					: 0);
			break;
		case MANAGED_FAILOVER_PROMOTE:
			if (d->without_lease) {
				managed_failover_not_sent(h->s, d->now_us,
							  a.fencing_token);
				break;
			}
			g_assert_cmpuint(a.fencing_token, <, TOKENS_MAX);
			d->promoted_by[a.fencing_token] |= 1U << i;
			d->promotions++;
			managed_failover_promoted(h->s, d->now_us,
						  a.fencing_token,
						  LWS_E_DEADLINE);
			break;
		case MANAGED_FAILOVER_COMMIT_SEAL:
		case MANAGED_FAILOVER_COMMIT_DEMOTION:
		case MANAGED_FAILOVER_COMMIT_PRIMARY:
		case MANAGED_FAILOVER_COMMIT_REMOVAL:
		case MANAGED_FAILOVER_ASK_VOTERS:
		case MANAGED_FAILOVER_ABANDONED:
		case MANAGED_FAILOVER_RESTARTED:
			break;
		}
	}
}

/* The log reaches the proposal of a holder. */
static void commit(struct duel *d, uint32_t i)
{
	struct holder *h = &d->h[i];

	if (!h->proposed || h->outcome != OUTCOME_NONE)
		return;
	h->outcome = h->proposed > d->agreed.term ? OUTCOME_COMMITTED
						  : OUTCOME_REFUSED;
	if (h->outcome == OUTCOME_COMMITTED)
		d->agreed.term = h->proposed;
}

static void learn_outcome(struct duel *d, uint32_t i)
{
	struct holder *h = &d->h[i];

	if (h->outcome == OUTCOME_NONE)
		return;
	managed_failover_token_proposed(
		h->s, d->now_us, h->proposed,
		h->outcome == OUTCOME_COMMITTED ? 0 : LWS_E_VERSION_CONFLICT);
}

static void see_group(struct duel *d, uint32_t i)
{
	managed_failover_set_group(d->h[i].s, d->now_us, &d->agreed, 0);
}

static void pass_time(struct duel *d, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 10) {
		d->now_us += 10 * MS;
		for (uint32_t i = 0; i < HOLDERS; i++) {
			if (!d->h[i].s)
				continue;
			managed_failover_tick(d->h[i].s, d->now_us);
			perform(d, i);
		}
	}
}

static void play(struct duel *d, uint32_t event)
{
	uint32_t holder = event % HOLDERS;

	switch (event / HOLDERS) {
	case 0:
		commit(d, holder);
		break;
	case 1:
		see_group(d, holder);
		break;
	default:
		learn_outcome(d, holder);
		break;
	}
	perform(d, holder);
	pass_time(d, 20);
}

/*
 * Two instances act as the leader (review case 4): each proposes a token, one
 * of them has the number committed, and both see the group's new term. All
 * orders of commits, states and outcomes.
 */
static void test_two_holders(void)
{
	uint32_t orders = 1;
	uint32_t promotions = 0;

	for (uint32_t i = 0; i < ORDER_EVENTS; i++)
		orders *= 3 * HOLDERS;
	for (uint32_t order = 0; order < orders; order++) {
		struct duel d;

		init_duel(&d, HOLDERS);
		pass_time(&d, 600);
		for (uint32_t i = 0, rest = order; i < ORDER_EVENTS; i++) {
			play(&d, rest % (3 * HOLDERS));
			rest /= 3 * HOLDERS;
		}
		for (uint32_t t = 0; t < TOKENS_MAX; t++)
			g_assert_cmpuint(d.promoted_by[t], !=, 3);
		promotions += d.promotions;
		clear_duel(&d);
	}
	g_assert_cmpuint(promotions, >, orders / 10);
}

struct token_case {
	const char *name;
	/* The group's term equals the token, or is one higher. */
	bool equal;
	bool higher;
	/* Outcome of the holder's own proposal, or none. */
	enum outcome outcome;
	/* Offset of the token that the outcome is for. */
	int64_t outcome_of;
	bool promotes;
};

static const struct token_case token_cases[] = {
	{ "own-commit", true, false, OUTCOME_COMMITTED, 0, true },
	{ "own-commit-before-state", false, false, OUTCOME_COMMITTED, 0, true },
	{ "number-of-another", true, false, OUTCOME_NONE, 0, false },
	{ "refused", true, false, OUTCOME_REFUSED, 0, false },
	{ "higher-token", false, true, OUTCOME_NONE, 0, false },
	{ "outcome-of-an-earlier-token", true, false, OUTCOME_COMMITTED, -1,
	  false },
};

/* A token is one's own only as the answer to one's own proposal. */
static void test_token(gconstpointer data)
{
	const struct token_case *c = data;
	struct duel d;
	struct holder *h = &d.h[0];

	init_duel(&d, 1);
	pass_time(&d, 600);
	g_assert_cmpuint(h->proposed, ==, 2);
	if (c->outcome != OUTCOME_NONE)
		managed_failover_token_proposed(
			h->s, d.now_us, 2 + (uint64_t)c->outcome_of,
			c->outcome == OUTCOME_COMMITTED
				? 0
				: LWS_E_VERSION_CONFLICT);
	d.agreed.term = c->higher ? 3 : c->equal ? 2 : 1;
	see_group(&d, 0);
	perform(&d, 0);
	pass_time(&d, 200);
	g_assert_cmpuint(d.promotions, ==, c->promotes);
	clear_duel(&d);
}

/*
 * The answer to a pause of an earlier attempt arrives in the next one, after
 * replication was resumed. Guards against a promotion beside a replica that
 * goes on receiving.
 */
static void test_answer_of_earlier_attempt(void)
{
	struct managed_failover_action late;
	struct duel d;
	struct holder *h = &d.h[0];

	init_duel(&d, 1);
	h->held_back = COMMAND_PAUSE;
	pass_time(&d, 600);
	commit(&d, 0);
	learn_outcome(&d, 0);
	see_group(&d, 0);
	pass_time(&d, 100);
	g_assert_true(h->answer_held);
	late = h->held;
	/* The attempt times out, and the next one starts. */
	while (h->proposed == 2)
		pass_time(&d, 100);
	commit(&d, 0);
	learn_outcome(&d, 0);
	see_group(&d, 0);
	pass_time(&d, 100);
	g_assert_cmpuint(d.promotions, ==, 0);
	d.paused[1] = true;
	answer(&d, h, &late);
	perform(&d, 0);
	pass_time(&d, 100);
	g_assert_cmpuint(d.promotions, ==, 0);
	/* The answer of the present attempt counts. */
	h->held_back = COMMAND_OPEN;
	answer(&d, h, &h->held);
	perform(&d, 0);
	g_assert_cmpuint(d.promotions, ==, 1);
	clear_duel(&d);
}

/* Without the lease nothing is promoted, and replication goes on. */
static void test_promotion_not_sent(void)
{
	struct duel d;
	struct holder *h = &d.h[0];

	init_duel(&d, 1);
	d.without_lease = true;
	pass_time(&d, 600);
	/* A new leader resumes both, as another may have paused them. */
	g_assert_cmpuint(d.resumed, ==, 2);
	commit(&d, 0);
	learn_outcome(&d, 0);
	see_group(&d, 0);
	pass_time(&d, 100);
	g_assert_cmpuint(d.promotions, ==, 0);
	g_assert_cmpuint(d.resumed, ==, 4);
	d.without_lease = false;
	while (h->proposed == 2)
		pass_time(&d, 100);
	commit(&d, 0);
	learn_outcome(&d, 0);
	see_group(&d, 0);
	pass_time(&d, 100);
	g_assert_cmpuint(d.promotions, ==, 1);
	clear_duel(&d);
}

/* Commands that are begun before the leadership ends */

struct call_case {
	const char *name;
	bool may_send;
};

static const struct call_case call_cases[] = {
	{ "leads", true },
	{ "leadership-over", false },
};

struct call_test {
	const struct call_case *c;
	struct tevent_context *ev;
	int listen_fd;
	/* What the endpoint reads after its answer to the opening message. */
	char command[256];
	bool ended;
	bool answered;
};

static bool may_send(void *private_data)
{
	const struct call_test *t = private_data;

	return t->c->may_send;
}

static void on_done(void *private_data, const struct endpoint_status *status,
		    enum statement_error error)
{
	struct call_test *t = private_data;

	(void)error;
	t->ended = true;
	t->answered = status != NULL;
}

static gpointer serve_endpoint(gpointer data)
{
	static const char ready[] = "READY I -\r\n";
	static const char status[] = "DATAROW replica 3 3.1209 0 12 2 17\r\n"
				     "COMPLETE -\r\nREADY I 3.1209\r\n";
	struct call_test *t = data;
	int fd = accept(t->listen_fd, NULL, NULL);
	char open[256];

	g_assert_cmpint(read(fd, open, sizeof(open)), >, 0);
	g_assert_cmpint(write(fd, ready, sizeof(ready) - 1), >, 0);
	if (read(fd, t->command, sizeof(t->command) - 1) > 0)
		g_assert_cmpint(write(fd, status, sizeof(status) - 1), >, 0);
	close(fd);
	return NULL;
}

/*
 * The connection opens after the leadership has ended. Guards against a
 * demotion or a pause that takes effect beside the next leader's attempt.
 */
static void test_call(gconstpointer data)
{
	struct call_test t = { .c = data, .ev = tevent_context_init(NULL) };
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	g_autofree char *text = NULL;
	struct endpoint_call call = { .codec = &line_codec,
				      .group = "g",
				      .caller = "i1",
				      .endpoint = "e1",
				      .command = COMMAND_STEP_DOWN,
				      .term = 3,
				      .timeout_ms = 2000,
				      .private_data = &t,
				      .may_send = may_send,
				      .done = on_done };
	GThread *endpoint;

	t.listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(t.listen_fd, (struct sockaddr *)&addr, len), ==,
			0);
	g_assert_cmpint(listen(t.listen_fd, 1), ==, 0);
	g_assert_cmpint(
		getsockname(t.listen_fd, (struct sockaddr *)&addr, &len), ==,
		0);
	text = g_strdup_printf("127.0.0.1:%u", ntohs(addr.sin_port));
	call.addr = text;
	endpoint = g_thread_new("endpoint", serve_endpoint, &t);
	g_assert_cmpint(endpoint_call_start(t.ev, t.ev, &call), ==, 0);
	while (!t.ended)
		g_assert_cmpint(tevent_loop_once(t.ev), ==, 0);
	g_assert_cmpint(t.answered, ==, t.c->may_send);
	talloc_free(t.ev);
	g_thread_join(endpoint);
	g_assert_cmpint(strstr(t.command, "STEPDOWN") != NULL, ==,
			t.c->may_send);
	close(t.listen_fd);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(step_cases); i++) {
		g_autofree char *path = g_strdup_printf("/leadership/step/%s",
							step_cases[i].name);

		g_test_add_data_func(path, &step_cases[i], test_step);
	}
	g_test_add_func("/leadership/needs-lease", test_needs_lease);
	g_test_add_func("/leadership/two-holders-one-token", test_two_holders);
	for (size_t i = 0; i < G_N_ELEMENTS(token_cases); i++) {
		g_autofree char *path = g_strdup_printf("/leadership/token/%s",
							token_cases[i].name);

		g_test_add_data_func(path, &token_cases[i], test_token);
	}
	g_test_add_func("/leadership/answer-of-earlier-attempt",
			test_answer_of_earlier_attempt);
	g_test_add_func("/leadership/promotion-not-sent",
			test_promotion_not_sent);
	for (size_t i = 0; i < G_N_ELEMENTS(call_cases); i++) {
		g_autofree char *path = g_strdup_printf("/leadership/call/%s",
							call_cases[i].name);

		g_test_add_data_func(path, &call_cases[i], test_call);
	}
	return g_test_run();
}
