#include "operator.h"

#include <string.h>
#include <talloc.h>

#include "control.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"

/* A read whose state cannot be confirmed fails after this time. */
#define READ_TIMEOUT_US (800 * LWS_US_PER_MS)
/*
 * A new endpoint that is not registered after this time is told to announce
 * itself elsewhere; it waits a second for an answer.
 */
#define REGISTER_TIMEOUT_US (700 * LWS_US_PER_MS)
/* Validity of an announcement. */
#define ANNOUNCE_LEASE_MS LEASE_MAX_MS

/* A read that waits until the local state is confirmed as of its arrival. */
struct pending_read {
	struct pending_read *next;
	uint64_t arrived_us;
	void *private_data;
	operator_read_fn done;
};

/* An announcement of a new endpoint that waits until it is registered. */
struct pending_announcement {
	struct pending_announcement *next;
	char group[FLEET_NAME_MAX];
	char endpoint[FLEET_NAME_MAX];
	uint64_t incarnation;
	uint64_t arrived_us;
	void *private_data;
	operator_done_fn done;
};

/* A change that waits for its commit. */
struct pending_operation {
	void *private_data;
	operator_done_fn done;
};

static void on_operation_committed(void *private_data, int rc, uint64_t version,
				   uint64_t index)
{
	struct pending_operation *pending = private_data;

	(void)version;
	(void)index;
	pending->done(pending->private_data, rc);
	talloc_free(pending);
}

static void propose(struct control *c, struct fleet_command *command,
		    void *private_data, operator_done_fn done)
{
	struct pending_operation *pending =
		talloc_zero(c, struct pending_operation);

	if (!pending) {
		done(private_data, LWS_E_NOMEM);
		return;
	}
	pending->private_data = private_data;
	pending->done = done;
	LWS_STR_COPY(command->who, c->daemon->settings.name);
	command->time_ms = control_wall_ms();
	control_propose(c, command, pending, on_operation_committed);
	control_log_pump(c);
}

void operator_replace(struct control *c, const struct catalog *catalog,
		      const uint8_t *document, uint32_t len, void *private_data,
		      operator_done_fn done)
{
	struct fleet_command command = { .type = FLEET_CATALOG_REPLACE };
	struct pack_writer packed;

	pack_writer_init(&packed);
	catalog_pack(&packed, catalog);
	command.catalog.version = catalog->version;
	command.catalog.document = document;
	command.catalog.document_len = len;
	command.catalog.packed = (const uint8_t *)packed.buf.data;
	command.catalog.packed_len = (uint32_t)packed.buf.size;
	propose(c, &command, private_data, done);
	pack_writer_clear(&packed);
}

/* Reading the document */

void operator_read(struct control *c, void *private_data, operator_read_fn done)
{
	struct pending_read *r = talloc_zero(c, struct pending_read);
	struct pending_read **at = &c->reads;

	if (!r) {
		done(private_data, LWS_E_NOMEM, NULL, 0);
		return;
	}
	r->arrived_us = lws_time_now_us();
	r->private_data = private_data;
	r->done = done;
	while (*at)
		at = &(*at)->next;
	*at = r;
	control_sync_now(c);
}

static bool answer_read(struct control *c, const struct pending_read *r,
			uint64_t now_us)
{
	const struct fleet *fleet = c->fleet;

	if (control_confirmed_us(c, now_us) < r->arrived_us) {
		if (now_us - r->arrived_us < READ_TIMEOUT_US)
			return false;
		lws_counter_add(&c->daemon->counters,
				LWS_COUNTER_READS_UNCONFIRMED, 1);
		control_log_unconfirmed(c, "config_read_unconfirmed",
					now_us - r->arrived_us, now_us);
		r->done(r->private_data, LWS_E_NO_QUORUM, NULL, 0);
		return true;
	}
	r->done(r->private_data, fleet->catalog ? 0 : LWS_E_NOT_FOUND,
		fleet->document, fleet->document_len);
	return true;
}

static void answer_announcements(struct control *c, uint64_t now_us);

void operator_tick(struct control *c, uint64_t now_us)
{
	answer_announcements(c, now_us);
	while (c->reads && answer_read(c, c->reads, now_us)) {
		struct pending_read *done = c->reads;

		c->reads = done->next;
		talloc_free(done);
	}
}

/* Evacuation of failure domains */

/* A check of a domain that waits until the local state is confirmed. */
struct pending_domain {
	struct control *control;
	char domain[FLEET_NAME_MAX];
	void *private_data;
	operator_done_fn done;
};

/* An evacuation, or its end, whose domain is being checked. */
struct pending_evacuation {
	struct control *control;
	struct fleet_command command;
	void *private_data;
	operator_done_fn done;
};

/*
 * Whether the failure domain exists, as far as this instance knows: the
 * settings list all of them, or none.
 */
static bool domain_known(const struct control *c, const char *domain)
{
	const struct regions *regions = &c->daemon->regions;

	return regions->count ? regions_lists(regions, domain)
			      : fleet_domain_present(c->fleet, domain);
}

static void on_state_confirmed(void *private_data, int rc,
			       const uint8_t *document, uint32_t len)
{
	struct pending_domain *pending = private_data;

	(void)document;
	(void)len;
	if (domain_known(pending->control, pending->domain))
		rc = 0;
	else if (rc != LWS_E_NO_QUORUM && rc != LWS_E_NOMEM)
		rc = LWS_E_NOT_FOUND;
	pending->done(pending->private_data, rc);
	talloc_free(pending);
}

void operator_check_domain(struct control *c, const char *domain,
			   void *private_data, operator_done_fn done)
{
	struct pending_domain *pending;

	if (!cfg_name_valid(domain)) {
		done(private_data, LWS_E_NOT_FOUND);
		return;
	}
	if (domain_known(c, domain)) {
		done(private_data, 0);
		return;
	}
	pending = talloc_zero(c, struct pending_domain);
	if (!pending) {
		done(private_data, LWS_E_NOMEM);
		return;
	}
	pending->control = c;
	LWS_STR_COPY(pending->domain, domain);
	pending->private_data = private_data;
	pending->done = done;
	/*
	 * An instance that has just started, or is cut off, may lack the
	 * domain; only a confirmed state shows that there is none.
	 */
	operator_read(c, pending, on_state_confirmed);
}

static void on_evacuation_checked(void *private_data, int rc)
{
	struct pending_evacuation *pending = private_data;

	if (rc)
		pending->done(pending->private_data, rc);
	else
		propose(pending->control, &pending->command,
			pending->private_data, pending->done);
	talloc_free(pending);
}

static void change_evacuation(struct control *c, enum fleet_command_type type,
			      const char *domain, void *private_data,
			      operator_done_fn done)
{
	struct pending_evacuation *pending =
		talloc_zero(c, struct pending_evacuation);

	if (!pending) {
		done(private_data, LWS_E_NOMEM);
		return;
	}
	pending->control = c;
	pending->command.type = type;
	LWS_STR_COPY(pending->command.domain, domain);
	pending->private_data = private_data;
	pending->done = done;
	operator_check_domain(c, domain, pending, on_evacuation_checked);
}

void operator_evacuate(struct control *c, const char *domain,
		       void *private_data, operator_done_fn done)
{
	change_evacuation(c, FLEET_DOMAIN_EVACUATE, domain, private_data, done);
}

void operator_restore(struct control *c, const char *domain, void *private_data,
		      operator_done_fn done)
{
	change_evacuation(c, FLEET_DOMAIN_RESTORE, domain, private_data, done);
}

/* Endpoints */

static bool is_registered(const struct control *c, const char *group,
			  const char *endpoint, uint64_t incarnation)
{
	const struct fleet_group *g = fleet_find_group(c->fleet, group);
	const struct fleet_endpoint *e =
		g ? fleet_find_endpoint(g, endpoint) : NULL;

	return e && e->incarnation >= incarnation;
}

/* Returns false while the announcement has to wait. */
static bool answer_announcement(struct control *c,
				const struct pending_announcement *a,
				uint64_t now_us)
{
	if (is_registered(c, a->group, a->endpoint, a->incarnation)) {
		a->done(a->private_data, 0);
		return true;
	}
	if (now_us - a->arrived_us < REGISTER_TIMEOUT_US)
		return false;
	lws_log_warn(c->daemon->log, "announcement_unconfirmed", "{s:s,s:s}",
		     "group", a->group, "endpoint", a->endpoint);
	a->done(a->private_data, LWS_E_NO_QUORUM);
	return true;
}

static void answer_announcements(struct control *c, uint64_t now_us)
{
	struct pending_announcement **at = &c->announcements;

	while (*at) {
		struct pending_announcement *a = *at;

		if (!answer_announcement(c, a, now_us)) {
			at = &a->next;
			continue;
		}
		*at = a->next;
		talloc_free(a);
	}
}

static void await_registration(struct control *c,
			       const struct operator_announcement *from,
			       void *private_data, operator_done_fn done)
{
	struct pending_announcement *a =
		talloc_zero(c, struct pending_announcement);

	if (!a) {
		done(private_data, LWS_E_NOMEM);
		return;
	}
	LWS_STR_COPY(a->group, from->group);
	LWS_STR_COPY(a->endpoint, from->endpoint.id);
	a->incarnation = from->endpoint.incarnation;
	a->arrived_us = lws_time_now_us();
	a->private_data = private_data;
	a->done = done;
	a->next = c->announcements;
	c->announcements = a;
}

static bool valid(const struct operator_announcement *a)
{
	return cfg_name_valid(a->group) && cfg_name_valid(a->endpoint.id) &&
	       cfg_name_valid(a->endpoint.failure_domain);
}

void operator_announce(struct control *c, const struct operator_announcement *a,
		       void *private_data, operator_done_fn done)
{
	struct wire_announce_item item = { .endpoint = a->endpoint,
					   .leaving = a->leaving,
					   .lease_ms = ANNOUNCE_LEASE_MS,
					   .claims_primary =
						   a->claims_primary };
	struct wire_msg msg = { .type = WIRE_ANNOUNCE,
				.announce = { .count = 1, .items = &item } };
	struct peer *peer = control_leader_peer(c);
	struct fleet_command command = { .type = FLEET_ENDPOINT_LEAVE };
	const struct fleet_group *group;
	const struct fleet_endpoint *known;

	if (!valid(a)) {
		done(private_data, LWS_E_ARGUMENT);
		return;
	}
	LWS_STR_COPY(item.group, a->group);
	if (!catalog_limits_cold(c->fleet->catalog, a->group)) {
		item.endpoint.cold_reported = false;
		item.endpoint.cold_left_ms = 0;
	}
	if (c->leader) {
		control_leader_announce(c, &item);
	} else if (peer) {
		peer_send(peer, &msg);
	} else {
		done(private_data, LWS_E_NOT_LEADER);
		return;
	}
	if (!a->leaving && !is_registered(c, a->group, a->endpoint.id,
					  a->endpoint.incarnation)) {
		await_registration(c, a, private_data, done);
		return;
	}
	group = fleet_find_group(c->fleet, a->group);
	known = group ? fleet_find_endpoint(group, a->endpoint.id) : NULL;
	if (!a->leaving || !known || known->leaving) {
		done(private_data, 0);
		return;
	}
	LWS_STR_COPY(command.endpoint.group, a->group);
	command.endpoint.endpoint = a->endpoint;
	command.endpoint.endpoint.leaving = true;
	command.endpoint.endpoint.cold_reported = false;
	command.endpoint.endpoint.cold_left_ms = 0;
	propose(c, &command, private_data, done);
}

void operator_deregister(struct control *c, const char *endpoint,
			 uint64_t incarnation, void *private_data,
			 operator_done_fn done)
{
	struct fleet_command command = { .type = FLEET_ENDPOINT_REMOVE };

	for (uint32_t i = 0; i < c->fleet->groups_count; i++) {
		const struct fleet_group *group = &c->fleet->groups[i];
		const struct fleet_endpoint *e =
			fleet_find_endpoint(group, endpoint);

		if (!e || (incarnation && incarnation < e->incarnation))
			continue;
		LWS_STR_COPY(command.endpoint.group, group->name);
		command.endpoint.endpoint = *e;
		propose(c, &command, private_data, done);
		return;
	}
	done(private_data, 0);
}

bool operator_ready(const struct control *c)
{
	return !c->draining && c->fleet->catalog &&
	       daemon_keys_fresh(c->daemon);
}

void operator_promoted(struct control *c, const char *group,
		       const char *endpoint, uint64_t fencing_token, int rc)
{
	lws_log_info(c->daemon->log, "promote_answered", "{s:s,s:s,s:I,s:s}",
		     "group", group, "endpoint", endpoint, "fence",
		     (json_int_t)fencing_token, "error", lws_error_name(rc));
	if (c->leader)
		control_managed_failover_promoted(c, group, endpoint,
						  fencing_token, rc);
}
