#include "control.h"

#include <string.h>
#include <talloc.h>
#include <time.h>

#include "io_timer.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"

#define SYNC_POLL_US (400 * LWS_US_PER_MS)
#define SYNC_TIMEOUT_US (250 * LWS_US_PER_MS)
/*
 * A graceful shutdown closes idle sessions after this delay. By then, callers
 * open new sessions at other instances.
 */
#define DRAIN_IDLE_DELAY_MS 2300
/* The last part of the time, in which the last answers reach their callers. */
#define DRAIN_ANSWER_PART 20

uint64_t control_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

bool control_is_leader(const struct control *c, uint64_t now_us)
{
	return c->raft && raft_quorum_stamp_us(c->raft, now_us) != 0;
}

/* The replicated state */

void control_replace_fleet(struct control *c, struct fleet *fleet)
{
	talloc_free(c->fleet);
	c->fleet = fleet;
	c->fleet_changed = true;
	c->config_applied_us = lws_time_now_us();
	sync_log_clear(c->sync_log);
}

static void log_audit(struct control *c, uint64_t index,
		      struct fleet_result result)
{
	const struct fleet_audit *audit = fleet_audit_at(c->fleet, 0);

	if (!audit || audit->index != index)
		return;
	lws_log_info(c->daemon->log, "change", "{s:I,s:s,s:s,s:s,s:I}", "index",
		     (json_int_t)index, "who", audit->who, "what", audit->what,
		     "result", lws_error_name(result.rc), "version",
		     (json_int_t)result.version);
}

/* Limits the log lines of one catalog change. */
#define RATES_LOGGED_MAX 16

/* -1 for no limit. */
static json_int_t logged_rate(const struct catalog_customer *customer)
{
	return customer->limited ? (json_int_t)customer->rate_per_s : -1;
}

static void log_rates(struct control *c, const struct catalog *old,
		      const struct catalog *now)
{
	uint32_t logged = 0;

	for (uint32_t i = 0; old && i < now->customers_count; i++) {
		const struct catalog_customer *to = &now->customers[i];
		const struct catalog_customer *from = NULL;

		for (uint32_t k = 0; k < old->customers_count; k++) {
			if (strcmp(old->customers[k].name, to->name) == 0)
				from = &old->customers[k];
		}
		if (!from || (from->limited == to->limited &&
			      from->rate_per_s == to->rate_per_s &&
			      from->burst == to->burst))
			continue;
		if (logged++ == RATES_LOGGED_MAX)
			return;
		lws_log_info(c->daemon->log, "rate_changed",
			     "{s:s,s:I,s:I,s:I,s:I}", "customer", to->name,
			     "from_per_s", logged_rate(from), "to_per_s",
			     logged_rate(to), "burst", (json_int_t)to->burst,
			     "version", (json_int_t)now->version);
	}
}

static void log_catalog(struct control *c, const struct catalog *old)
{
	const struct catalog *now = c->fleet->catalog;

	lws_log_info(c->daemon->log, "catalog_in_force", "{s:I,s:I,s:I,s:I}",
		     "version", (json_int_t)now->version, "databases",
		     (json_int_t)now->databases_count, "customers",
		     (json_int_t)now->customers_count, "keys",
		     (json_int_t)now->keys_count);
	log_rates(c, old, now);
}

/*
 * Instances without a data directory do not keep the document of the catalog:
 * for them the sync log holds a patch of the parsed catalog only.
 */
static void append_to_sync_log(struct control *c, uint64_t index,
			       const uint8_t *data, uint32_t len,
			       const struct catalog *old, bool catalog_command)
{
	const struct catalog *now = c->fleet->catalog;
	struct fleet_command patch = { .type = FLEET_CATALOG_PATCH };
	struct pack_writer packed;
	struct pack_writer w;

	if (!catalog_command || !old) {
		sync_log_push(c->sync_log, index, data, len, NULL, 0);
		return;
	}
	if (old == now) {
		sync_log_push(c->sync_log, index, data, len,
			      (const uint8_t *)"", 0);
		return;
	}
	pack_writer_init(&packed);
	pack_writer_init(&w);
	catalog_patch_pack(&packed, old, now);
	patch.catalog.version = now->version;
	patch.catalog.packed = (const uint8_t *)packed.buf.data;
	patch.catalog.packed_len = (uint32_t)packed.buf.size;
	LWS_STR_COPY(patch.who, c->daemon->settings.name);
	fleet_command_pack(&w, &patch);
	sync_log_push(c->sync_log, index, data, len,
		      (const uint8_t *)w.buf.data, (uint32_t)w.buf.size);
	pack_writer_clear(&packed);
	pack_writer_clear(&w);
}

void control_apply(struct control *c, uint64_t index, uint64_t term,
		   const uint8_t *data, uint32_t len)
{
	struct fleet_result result = { .version = c->fleet->config_version };
	struct fleet_command command;
	struct catalog *old = NULL;
	bool catalog_command = false;
	void *scratch;

	/* The log and the upstream may both deliver the same entry. */
	if (index <= c->fleet->applied_index)
		return;
	scratch = talloc_new(NULL);
	if (len && !fleet_command_unpack(scratch, data, len, &command)) {
		old = c->fleet->catalog;
		catalog_command = command.type == FLEET_CATALOG_REPLACE;
		/*
		 * fleet_apply() may replace the catalog, but
		 * append_to_sync_log() needs the old one.
		 */
		if (old)
			(void)talloc_reference(scratch, old);
		result = fleet_apply(c->fleet, index, &command);
		c->fleet_changed = true;
		if (command.type == FLEET_CONFIG_APPLY ||
		    command.type == FLEET_CATALOG_REPLACE)
			c->config_applied_us = lws_time_now_us();
		if (c->fleet->catalog != old)
			log_catalog(c, old);
		log_audit(c, index, result);
		/*
		 * If a patch does not fit the local catalog, index 0 makes the
		 * next sync request fetch the whole state.
		 */
		if (command.type == FLEET_CATALOG_PATCH && result.rc)
			index = 0;
	}
	c->fleet->applied_index = index;
	append_to_sync_log(c, index, data, len, old, catalog_command);
	talloc_free(scratch);
	control_proposals_applied(c, index, term, result);
}

static bool was_evacuated(const struct control *c, const char *domain)
{
	for (uint32_t i = 0; i < c->evacuated_count; i++) {
		if (strcmp(c->evacuated[i], domain) == 0)
			return true;
	}
	return false;
}

/* Logs evacuations that begin or end at this instance with this state. */
static void log_evacuations(struct control *c)
{
	const struct fleet *fleet = c->fleet;

	for (uint32_t i = 0; i < fleet->evacuated_count; i++) {
		if (!was_evacuated(c, fleet->evacuated[i]))
			lws_log_info(c->daemon->log, "evacuation_in_force",
				     "{s:s}", "failure_domain",
				     fleet->evacuated[i]);
	}
	for (uint32_t i = 0; i < c->evacuated_count; i++) {
		if (!fleet_domain_evacuated(fleet, c->evacuated[i]))
			lws_log_info(c->daemon->log, "evacuation_ended",
				     "{s:s}", "failure_domain",
				     c->evacuated[i]);
	}
	TALLOC_FREE(c->evacuated);
	c->evacuated_count = 0;
	if (!fleet->evacuated_count)
		return;
	c->evacuated = (char(*)[FLEET_NAME_MAX])talloc_memdup(
		c, fleet->evacuated,
		(size_t)fleet->evacuated_count * FLEET_NAME_MAX);
	if (c->evacuated)
		c->evacuated_count = fleet->evacuated_count;
}

void control_publish(struct control *c)
{
	struct view *view;

	control_push_downstreams(c);
	if (!c->fleet_changed)
		return;
	log_evacuations(c);
	control_dial_fleet(c);
	ack_client_end_terms(c->ack_client, c->fleet);
	if (c->session_server)
		session_server_fleet_changed(c->session_server);
	if (!c->daemon->settings.workers) {
		c->fleet_changed = false;
		if (c->leader)
			control_leader_fleet_changed(c, lws_time_now_us());
		return;
	}
	view = view_create(NULL, c->fleet, c->daemon->settings.name,
			   control_bucket_of, c);
	if (!view)
		return;
	for (uint32_t i = 0; view->cfg && i < view->cfg->groups_count; i++)
		view->groups[i].confirmed_us = c->fleet_confirmed_us;
	c->fleet_changed = false;
	daemon_publish(c->daemon, view);
	if (c->leader)
		control_leader_fleet_changed(c, lws_time_now_us());
}

/* Graceful shutdown */

void control_begin_drain(struct control *c)
{
	struct daemon *d = c->daemon;
	uint64_t now_us = lws_time_now_us();
	uint64_t drain_us = d->settings.drain_ms * LWS_US_PER_MS;
	struct pooler_stop stop = {
		.accept_until_us = now_us + drain_us / 2,
		.answer_by_us =
			now_us + drain_us - drain_us / DRAIN_ANSWER_PART,
	};

	if (c->draining)
		return;
	c->draining = true;
	c->drain_started_us = now_us;
	atomic_store(&d->draining, true);
	lws_log_info(d->log, "drain", NULL);
	for (uint32_t i = 0; i < d->settings.workers; i++)
		worker_drain(d->workers[i]);
	if (c->session_server)
		session_server_drain(
			c->session_server,
			now_us + DRAIN_IDLE_DELAY_MS * LWS_US_PER_MS, &stop);
}

static void drain_tick(struct control *c, uint64_t now_us)
{
	struct daemon *d = c->daemon;
	uint64_t waited = now_us - c->drain_started_us;
	bool idle =
		atomic_load(&d->workers_idle) == d->settings.workers &&
		(!c->session_server || session_server_idle(c->session_server));

	if (!idle && waited < d->settings.drain_ms * LWS_US_PER_MS)
		return;
	control_rates_return(c);
	/*
	 * A leader first transfers its leadership. If there are other voters,
	 * this instance keeps running for the election of the successor.
	 */
	if (c->raft && raft_role(c->raft) == RAFT_LEADER &&
	    waited < d->settings.drain_ms * LWS_US_PER_MS) {
		raft_transfer_leadership(c->raft, now_us);
		control_log_pump(c);
		if (raft_voters(c->raft)->count > 1)
			return;
	}
	c->stopped = true;
}

/* Timer */

static void on_tick(struct tevent_context *ev, struct io_timer *timer,
		    void *private_data)
{
	struct control *c = private_data;
	uint64_t now_us = lws_time_now_us();

	(void)timer;
	if (c->raft) {
		raft_tick(c->raft, now_us);
		control_leader_end_if_over(c);
		control_log_pump(c);
	}
	control_leader_check(c, now_us);
	if (c->leader)
		control_leader_tick(c, now_us);
	control_sync_tick(c, now_us);
	control_rates_tick(c, now_us);
	control_report_tick(c, now_us);
	control_acks_tick(c, now_us);
	control_bootstrap_tick(c, now_us);
	control_no_leader_tick(c, now_us);
	operator_tick(c, now_us);
	control_proposals_expire(c, now_us);
	control_publish(c);
	if (c->draining)
		drain_tick(c, now_us);
	io_timer_add(ev, c, CONTROL_TICK_MS * LWS_US_PER_MS, on_tick, c);
}

struct control *control_create(struct daemon *d, struct tevent_context *ev)
{
	struct control *c = talloc_zero(ev, struct control);
	int rc = 0;

	if (!c)
		return NULL;
	c->daemon = d;
	c->ev = ev;
	c->fleet = fleet_create(c);
	c->sync_log = sync_log_create(c);
	c->rate_client = rate_client_create(c);
	c->ack_client = ack_client_create(c);
	c->ack_record = ack_record_create(c);
	c->ack_replies = ack_replies_create(c);
	c->sync.poll_us = SYNC_POLL_US;
	c->sync.timeout_us = SYNC_TIMEOUT_US;
	d->control_queue = message_queue_create(c, ev, c);
	if (!c->fleet || !c->sync_log || !c->rate_client || !c->ack_client ||
	    !c->ack_record || !c->ack_replies || !d->control_queue)
		rc = LWS_E_NOMEM;
	if (!rc && d->settings.rate_share_ms)
		rate_client_use_shares(c->rate_client);
	if (!rc && d->settings.data)
		rc = control_log_open(c);
	if (!rc && d->settings.data)
		rc = control_ack_file_open(c);
	if (!rc)
		rc = control_peers_start(c);
	if (!rc && !d->adapter)
		rc = control_admin_start(c);
	if (rc) {
		lws_log_error(d->log, "start_failed", "{s:s,s:s}", "error",
			      lws_error_name(rc), "message",
			      lws_error_answer(rc)->text);
		talloc_free(c);
		return NULL;
	}
	io_timer_add(ev, c, 0, on_tick, c);
	return c;
}
