#include <string.h>
#include <talloc.h>

#include "control.h"
#include "control_managed.h"
#include "endpoint_call.h"
#include "lws_str.h"
#include "lws_time.h"

/*
 * Acknowledged commits (ack_record.h): the requests of this instance, the
 * record of this voter, and the questions of the leader.
 */

/* Time between two questions whether the records are complete. */
#define COVER_INTERVAL_US (250 * LWS_US_PER_MS)
#define STATUS_TIMEOUT_MS 230
/* Questions after which all voters that can answer have done so. */
#define COVERS_BEFORE_PRIMARY 2

/* Requests of this instance */

static void on_stored(struct control *c, const char *voter,
		      const struct wire_ack *stored)
{
	struct ack_reply reply = { .voter = stored->voter,
				   .config = stored->config,
				   .voters = stored->voters,
				   .position = stored->position };
	struct log_position recorded = ack_client_replied(
		c->ack_client, stored->group, stored->term, voter, &reply);

	if (c->session_server && recorded.term)
		session_server_ack_recorded(c->session_server, stored->group,
					    stored->term, recorded);
}

/* Tells an instance, which may be this one, that its position is recorded. */
static void reply_stored(struct control *c, const struct ack_waiting *waiting)
{
	struct wire_msg msg = { .type = WIRE_ACK_STORED };
	struct peer *p;

	LWS_STR_COPY(msg.ack.group, waiting->request.group);
	msg.ack.term = waiting->request.term;
	msg.ack.position = waiting->request.position;
	/*
	 * While voters change, this one may count in either set or in none. The
	 * instance asks again until it does.
	 */
	msg.ack.voter = raft_committed_voters_index(c->raft) &&
			raft_is_voter(raft_voters(c->raft), c->identity.member);
	msg.ack.config = raft_voters_index(c->raft);
	msg.ack.voters = raft_voters(c->raft)->count;
	if (strcmp(waiting->instance, c->daemon->settings.name) == 0) {
		on_stored(c, waiting->instance, &msg.ack);
		return;
	}
	p = control_peer_named(c, waiting->instance, waiting->origin);
	if (p)
		peer_send(p, &msg);
}

void control_acks_synced(struct control *c)
{
	struct ack_waiting waiting;

	while (ack_replies_next(c->ack_replies, c->ack_durable_seq, &waiting))
		reply_stored(c, &waiting);
}

/*
 * Records a position and replies once it is synced, if it is recorded here.
 * @peer is NULL for a request of this instance.
 */
static void store(struct control *c, const struct peer *peer,
		  const struct wire_ack *request)
{
	const char *instance =
		peer ? peer_hello(peer)->name : c->daemon->settings.name;
	struct ack_waiting waiting = {
		.origin = peer,
		.request = { .term = request->term,
			     .position = request->position },
	};

	if (!c->raft || !ack_record_store(c->ack_record, request->group,
					  request->term, request->position))
		return;
	LWS_STR_COPY(waiting.instance, instance);
	LWS_STR_COPY(waiting.request.group, request->group);
	control_ack_file_save(c);
	ack_replies_add(c->ack_replies, c->ack_seq, &waiting);
	control_acks_synced(c);
}

static void send_request(struct control *c, const struct ack_request *request)
{
	struct wire_msg msg = { .type = WIRE_ACK_STORE,
				.ack = { .term = request->term,
					 .position = request->position } };

	LWS_STR_COPY(msg.ack.group, request->group);
	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		if (peer_hello(p)->member)
			peer_send(p, &msg);
	}
	store(c, NULL, &msg.ack);
}

void control_record_ack(struct control *c, const char *group, uint64_t term,
			struct log_position position)
{
	struct ack_request request = { .term = term, .position = position };

	LWS_STR_COPY(request.group, group);
	if (ack_client_add(c->ack_client, lws_time_now_us(), &request))
		send_request(c, &request);
}

/* The record of this voter */

/*
 * The state has everything that was committed before this process started, and
 * before this instance became a voter.
 */
static bool may_begin(const struct control *c, uint64_t now_us)
{
	return raft_is_voter(raft_voters(c->raft), c->identity.member) &&
	       control_confirmed_us(c, now_us) &&
	       c->fleet->applied_index >= raft_voters_index(c->raft);
}

static void begin_record(struct control *c)
{
	struct ack_tenure tenure = {
		.config = raft_voters_index(c->raft),
		.since = raft_voter_since(c->raft),
		.remembers = c->ack_remembers,
	};

	/* Not the same twice in a process; 0 has another meaning. */
	c->ack_epoch = c->ack_epoch ? c->ack_epoch + 1 : c->daemon->incarnation;
	if (!c->ack_epoch)
		c->ack_epoch = 1;
	tenure.epoch = c->ack_epoch;
	c->ack_since = tenure.since;
	ack_record_begin(c->ack_record, c->fleet, &tenure);
	control_ack_file_begin(c);
}

static void end_record(struct control *c)
{
	ack_record_end(c->ack_record);
	ack_replies_clear(c->ack_replies);
}

static void update_record(struct control *c, uint64_t now_us)
{
	/* It may have missed a set of voters without this instance. */
	if (raft_voter_since(c->raft) != c->ack_since)
		end_record(c);
	if (!ack_record_begun(c->ack_record) && may_begin(c, now_us))
		begin_record(c);
	if (raft_committed_voters_index(c->raft))
		ack_record_set_config(c->ack_record,
				      raft_committed_voters_index(c->raft));
	control_ack_file_save(c);
}

static bool answer(struct control *c, const struct wire_ack *ask,
		   struct wire_ack *out)
{
	struct ack_question question = { .group = ask->group,
					 .term = ask->term,
					 .token = ask->token,
					 .promise = ask->promise };
	struct ack_answer own;

	if (!c->raft)
		return false;
	question.adopted = raft_voters_index(c->raft);
	if (!ack_record_ask(c->ack_record, &question, &own))
		return false;
	*out = *ask;
	out->promise = own.promised;
	out->complete = own.complete;
	out->epoch = own.epoch;
	out->config = own.config;
	out->voter = own.remembers;
	out->voters = own.adopted;
	out->position = own.acked;
	return true;
}

struct ack_answer control_ack_answer(const struct wire_ack *answer)
{
	return (struct ack_answer){ .token = answer->token,
				    .promised = answer->promise,
				    .complete = answer->complete,
				    .epoch = answer->epoch,
				    .config = answer->config,
				    .remembers = answer->voter,
				    .adopted = answer->voters,
				    .acked = answer->position };
}

/* Questions of the leader */

struct ack_survey_status control_survey_status(
	const struct control *c, const struct managed_group *managed,
	uint64_t token)
{
	const struct raft_voters *outgoing = raft_outgoing_voters(c->raft);
	uint64_t config = raft_committed_voters_index(c->raft);
	struct ack_survey_status incoming = ack_survey_status(
		&managed->survey, raft_voters(c->raft), config, token);
	struct ack_survey_status before;

	if (!outgoing)
		return incoming;
	before = ack_survey_status(&managed->survey, outgoing, config, token);
	return ack_survey_joint(&before, &incoming);
}

static void ask_voter(struct control *c, uint64_t voter,
		      const struct wire_msg *msg)
{
	struct peer *p = control_peer_of_member(c, voter);

	if (p)
		peer_send(p, msg);
}

void control_ask_voters(struct control *c, const struct managed_group *managed,
			uint64_t token, bool promise)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	const struct raft_voters *outgoing = raft_outgoing_voters(c->raft);
	const struct fleet_group *group =
		fleet_find_group(c->fleet, managed->name);
	struct wire_msg msg = { .type = WIRE_ACK_ASK,
				.ack = { .token = token, .promise = promise } };
	struct wire_ack own;

	if (!group)
		return;
	LWS_STR_COPY(msg.ack.group, managed->name);
	msg.ack.term = group->primary_term;
	for (uint32_t i = 0; i < voters->count; i++)
		ask_voter(c, voters->member[i].id, &msg);
	for (uint32_t i = 0; outgoing && i < outgoing->count; i++) {
		if (!raft_is_voter(voters, outgoing->member[i].id))
			ask_voter(c, outgoing->member[i].id, &msg);
	}
	if (answer(c, &msg.ack, &own))
		control_managed_failover_acks(c, c->identity.member, &own);
}

/* Completion of the records of voters that have started */

/* Status request to a primary for the record of one voter. */
struct cover_call {
	struct control *control;
	uint64_t voter;
	struct wire_ack cover;
	char primary[FLEET_NAME_MAX];
};

static bool may_cover(const struct control *c, const struct fleet_group *group,
		      uint64_t now_us)
{
	return c->leader && raft_lease_held(c->raft, now_us) &&
	       raft_committed_voters_index(c->raft) && group &&
	       group->primary_term;
}

/* A primary tells nothing while another endpoint may be promoted. */
static bool may_ask_primary(const struct control *c,
			    const struct fleet_group *group, uint64_t now_us)
{
	return may_cover(c, group, now_us) &&
	       group->term == group->primary_term;
}

static void send_cover(struct control *c, uint64_t voter,
		       const struct wire_ack *cover)
{
	struct wire_msg msg = { .type = WIRE_ACK_COVER, .ack = *cover };
	struct peer *p = control_peer_of_member(c, voter);

	if (p)
		peer_send(p, &msg);
	else if (voter == c->identity.member)
		ack_record_cover(c->ack_record, cover->group, cover->term,
				 cover->epoch, cover->config, cover->position);
}

static void on_primary_status(void *private_data,
			      const struct endpoint_status *status,
			      enum statement_error error)
{
	struct cover_call *call = private_data;
	struct control *c = call->control;
	const struct fleet_group *group =
		fleet_find_group(c->fleet, call->cover.group);

	/* Without an answer, the voter is asked again. */
	(void)error;
	if (status && status->primary &&
	    may_ask_primary(c, group, lws_time_now_us()) &&
	    group->primary_term == call->cover.term &&
	    raft_voters_index(c->raft) == call->cover.config) {
		call->cover.position = status->received;
		send_cover(c, call->voter, &call->cover);
	}
	talloc_free(call);
}

static void ask_primary(struct control *c, const struct fleet_group *group,
			uint64_t voter, const struct wire_ack *cover)
{
	const struct fleet_endpoint *primary =
		fleet_find_endpoint(group, group->primary);
	struct cover_call *pending = talloc_zero(c, struct cover_call);
	struct endpoint_call call = {
		.codec = c->daemon->adapter->codec,
		.caller = c->daemon->settings.name,
		.command = COMMAND_STATUS,
		.timeout_ms = STATUS_TIMEOUT_MS,
		.private_data = pending,
		.done = on_primary_status,
	};

	if (!pending || !primary) {
		talloc_free(pending);
		return;
	}
	pending->control = c;
	pending->voter = voter;
	pending->cover = *cover;
	LWS_STR_COPY(pending->primary, primary->id);
	call.addr = primary->addr;
	call.group = pending->cover.group;
	call.endpoint = pending->primary;
	if (endpoint_call_start(c, c->ev, &call))
		talloc_free(pending);
}

/* Identifies the process of a voter that is connected; 0 for none. */
static uint64_t incarnation_of(struct control *c, uint64_t voter)
{
	const struct peer *p = control_peer_of_member(c, voter);

	if (p)
		return peer_hello(p)->incarnation;
	return voter == c->identity.member ? c->daemon->incarnation : 0;
}

static bool is_covered(struct control *c, const struct managed_group *managed,
		       uint64_t voter, uint64_t term)
{
	for (uint32_t i = 0; i < RAFT_VOTERS_MAX; i++) {
		const struct covered_voter *v = &managed->covered[i];

		if (v->voter == voter)
			return v->term == term &&
			       v->incarnation == incarnation_of(c, voter);
	}
	return false;
}

static bool all_covered(struct control *c, const struct managed_group *managed,
			uint64_t term)
{
	const struct raft_voters *voters = raft_voters(c->raft);

	for (uint32_t i = 0; i < voters->count; i++) {
		uint64_t voter = voters->member[i].id;

		if (incarnation_of(c, voter) &&
		    !is_covered(c, managed, voter, term))
			return false;
	}
	return true;
}

void control_cover_tick(struct control *c, struct managed_group *managed,
			uint64_t now_us)
{
	const struct fleet_group *group =
		fleet_find_group(c->fleet, managed->name);

	if (now_us - managed->cover_asked_us < COVER_INTERVAL_US ||
	    !may_cover(c, group, now_us) ||
	    all_covered(c, managed, group->primary_term))
		return;
	if (managed->cover_config != raft_voters_index(c->raft)) {
		managed->cover_config = raft_voters_index(c->raft);
		managed->covers_asked = 0;
	}
	managed->cover_asked_us = now_us;
	managed->covers_asked++;
	control_ask_voters(c, managed, group->term, false);
}

/* Takes the entry of the voter, or that of one that is no voter any more. */
static void set_covered(struct control *c, struct managed_group *managed,
			uint64_t voter, const struct wire_ack *answer)
{
	struct covered_voter *entry = NULL;

	for (uint32_t i = 0; i < RAFT_VOTERS_MAX; i++) {
		struct covered_voter *v = &managed->covered[i];

		if (v->voter == voter) {
			entry = v;
			break;
		}
		if (!raft_is_voter(raft_voters(c->raft), v->voter))
			entry = v;
	}
	if (entry)
		*entry = (struct covered_voter){
			.voter = voter,
			.incarnation = incarnation_of(c, voter),
			.term = answer->term,
		};
}

void control_cover_answered(struct control *c, struct managed_group *managed,
			    uint64_t voter, const struct wire_ack *answer)
{
	const struct fleet_group *group =
		fleet_find_group(c->fleet, managed->name);
	struct ack_answer own = control_ack_answer(answer);
	struct wire_ack cover = { .term = answer->term,
				  .epoch = answer->epoch,
				  .config = raft_voters_index(c->raft) };
	uint64_t now_us = lws_time_now_us();
	enum ack_cover_source source;

	if (!group || answer->term != group->primary_term)
		return;
	if (answer->complete)
		set_covered(c, managed, voter, answer);
	if (!may_cover(c, group, now_us))
		return;
	ack_cover_add(&managed->records, raft_committed_voters_index(c->raft),
		      voter, &own);
	LWS_STR_COPY(cover.group, group->name);
	source = ack_cover_source(&managed->records, raft_voters(c->raft),
				  raft_committed_voters_index(c->raft), &own,
				  &cover.position);
	/* Other voters may not have answered yet. */
	if (source == ACK_COVER_RECORDS)
		send_cover(c, voter, &cover);
	else if (source == ACK_COVER_PRIMARY &&
		 managed->covers_asked >= COVERS_BEFORE_PRIMARY &&
		 may_ask_primary(c, group, now_us))
		ask_primary(c, group, voter, &cover);
}

/* Messages and time */

void control_acks_message(struct control *c, struct peer *peer,
			  const struct wire_msg *msg)
{
	const struct wire_hello *hello = peer_hello(peer);
	struct wire_msg reply = { .type = WIRE_ACK_ANSWER };

	switch (msg->type) {
	case WIRE_ACK_STORE:
		store(c, peer, &msg->ack);
		return;
	case WIRE_ACK_STORED:
		on_stored(c, hello->name, &msg->ack);
		return;
	case WIRE_ACK_ASK:
		if (answer(c, &msg->ack, &reply.ack))
			peer_send(peer, &reply);
		return;
	case WIRE_ACK_ANSWER:
		control_managed_failover_acks(c, hello->member, &msg->ack);
		return;
	case WIRE_ACK_COVER:
		if (c->raft)
			ack_record_cover(c->ack_record, msg->ack.group,
					 msg->ack.term, msg->ack.epoch,
					 msg->ack.config, msg->ack.position);
		return;
	default:
		return;
	}
}

void control_acks_tick(struct control *c, uint64_t now_us)
{
	struct ack_request request;

	if (c->raft)
		update_record(c, now_us);
	while (ack_client_due(c->ack_client, now_us, &request))
		send_request(c, &request);
}
