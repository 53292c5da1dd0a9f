#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "control.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "sock.h"

#define SEEDS_MAX 16
#define DIALS_MAX 256
/* Interval of checks whether the set of voters must change. */
#define VOTERS_INTERVAL_US (200 * LWS_US_PER_MS)
/* A voter without a connection for this long is replaced by another. */
#define VOTER_MISSING_US (6 * LWS_US_PER_S)
/* First log line about a missing leader, and interval of further ones. */
#define NO_LEADER_LOG_US (2 * LWS_US_PER_S)
#define NO_LEADER_LOG_AGAIN_US (5 * LWS_US_PER_S)

/* Addresses */

/* Splits the list of seeds in place; the results point into @list. */
static uint32_t split_seeds(char *list, const char **out)
{
	uint32_t n = 0;
	char *save;

	for (char *addr = strtok_r(list, ",", &save); addr && n < SEEDS_MAX;
	     addr = strtok_r(NULL, ",", &save))
		out[n++] = addr;
	return n;
}

static void add_addr(const char **list, uint32_t *n, const char *addr)
{
	for (uint32_t i = 0; i < *n; i++) {
		if (strcmp(list[i], addr) == 0)
			return;
	}
	if (*n < DIALS_MAX)
		list[(*n)++] = addr;
}

/*
 * With an adapter, every instance keeps connections to all seeds and to all
 * instances that accept connections from other instances; a control instance
 * also to those that did so before.
 */
void control_dial_fleet(struct control *c)
{
	char *seeds = talloc_strdup(c, c->daemon->settings.control);
	const char *list[DIALS_MAX];
	const char *split[SEEDS_MAX];
	uint32_t count = 0;
	uint32_t n = split_seeds(seeds, split);

	if (!c->daemon->adapter) {
		talloc_free(seeds);
		return;
	}
	for (uint32_t i = 0; i < n; i++) {
		if (strcmp(split[i], c->peer_addr) != 0)
			add_addr(list, &count, split[i]);
	}
	for (uint32_t i = 0; i < c->fleet->instances_count; i++) {
		const struct fleet_instance *other = &c->fleet->instances[i];

		if (*other->addr && sock_addr_valid(other->addr) &&
		    strcmp(other->addr, c->peer_addr) != 0)
			add_addr(list, &count, other->addr);
	}
	if (c->raft)
		address_book_add_members(&c->book, c->fleet);
	for (uint32_t i = 0; i < c->book.count; i++) {
		if (strcmp(c->book.addrs[i], c->peer_addr) != 0)
			add_addr(list, &count, c->book.addrs[i]);
	}
	peer_hub_set_dials(c->hub, list, count);
	talloc_free(seeds);
}

/* Cluster bootstrap */

static int by_id(const void *a, const void *b)
{
	const struct raft_member *left = a;
	const struct raft_member *right = b;

	if (left->id == right->id)
		return 0;
	return left->id < right->id ? -1 : 1;
}

/*
 * Returns the hello message of the seed at @addr; NULL if the seed is not
 * connected, has no data directory or already has a cluster.
 */
static const struct wire_hello *unbootstrapped_seed(struct control *c,
						    const char *addr)
{
	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		const struct wire_hello *hello = peer_hello(p);

		if (hello->member && !hello->cluster &&
		    strcmp(hello->addr, addr) == 0)
			return hello;
	}
	return NULL;
}

/*
 * Collects the identities of all seeds, sorted. Each seed computes the same
 * list and, from it, the same cluster identity and secret.
 */
static bool collect_voters(struct control *c, struct raft_voters *voters)
{
	char *seeds = talloc_strdup(c, c->daemon->settings.control);
	const char *split[SEEDS_MAX];
	uint32_t n = split_seeds(seeds, split);
	bool self = false;

	*voters = (struct raft_voters){ 0 };
	for (uint32_t i = 0; i < n && i < RAFT_VOTERS_MAX; i++) {
		struct raft_member *member = &voters->member[voters->count];
		const struct wire_hello *hello;

		if (strcmp(split[i], c->peer_addr) == 0) {
			self = true;
			member->id = c->identity.member;
			LWS_STR_COPY(member->name, c->daemon->settings.name);
			voters->count++;
			continue;
		}
		hello = unbootstrapped_seed(c, split[i]);
		if (!hello)
			break;
		member->id = hello->member;
		LWS_STR_COPY(member->name, hello->name);
		voters->count++;
	}
	talloc_free(seeds);
	qsort(voters->member, voters->count, sizeof(voters->member[0]), by_id);
	return self && voters->count == n;
}

void control_bootstrap_tick(struct control *c, uint64_t now_us)
{
	uint8_t secret[FLEET_SECRET_BYTES];
	struct raft_voters voters;
	uint64_t cluster;
	int rc;

	(void)now_us;
	if (!c->daemon->settings.bootstrap_from_seeds || !c->raft ||
	    c->identity.cluster || !collect_voters(c, &voters))
		return;
	cluster = XXH64(voters.member, sizeof(voters.member), 0) | 1;
	crypto_generichash(secret, sizeof(secret),
			   (const uint8_t *)voters.member,
			   sizeof(voters.member), NULL, 0);
	rc = control_bootstrap(c, cluster, secret, &voters);
	lws_log_info(c->daemon->log, "fleet_formed", "{s:I,s:s}", "voters",
		     (json_int_t)voters.count, "error", lws_error_name(rc));
}

/* Voters */

static const char *domain_of(const struct control *c, const char *name)
{
	const struct fleet_instance *i = fleet_find_instance(c->fleet, name);

	return i ? i->failure_domain : "";
}

static uint32_t voters_in(const struct control *c, const char *domain)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	uint32_t n = 0;

	for (uint32_t i = 0; i < voters->count; i++)
		n += strcmp(domain_of(c, voters->member[i].name), domain) == 0;
	return n;
}

/*
 * Returns a connected control instance that is no voter, from a failure domain
 * with the fewest voters.
 */
static const struct wire_hello *voter_candidate(struct control *c)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	const struct wire_hello *best = NULL;

	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		const struct wire_hello *hello = peer_hello(p);

		if (!hello->member || raft_is_voter(voters, hello->member) ||
		    (hello->cluster && hello->cluster != c->identity.cluster))
			continue;
		if (!best || voters_in(c, hello->failure_domain) <
				     voters_in(c, best->failure_domain))
			best = hello;
	}
	return best;
}

/* Index of the voter that is missing for longest, -1 if none is overdue. */
static int32_t missing_voter(struct control *c, uint64_t now_us)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	struct leader_state *l = c->leader;
	uint64_t longest_us = VOTER_MISSING_US;
	int32_t missing = -1;

	for (uint32_t i = 0; i < voters->count; i++) {
		uint64_t id = voters->member[i].id;

		if (l->voter_ids[i] != id || id == c->identity.member ||
		    control_peer_of_member(c, id)) {
			l->voter_ids[i] = id;
			l->voter_contact_us[i] = now_us;
			continue;
		}
		if (now_us - l->voter_contact_us[i] > longest_us) {
			longest_us = now_us - l->voter_contact_us[i];
			missing = (int32_t)i;
		}
	}
	return missing;
}

/*
 * Keeps the configured number of voters. A replacement becomes a voter once it
 * has caught up; only then the missing voter is removed.
 */
void control_voters_tick(struct control *c, uint64_t now_us)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	uint32_t wanted = c->daemon->settings.voters;
	const struct wire_hello *hello;
	int32_t missing;

	if (!wanted ||
	    now_us - c->leader->voters_checked_us < VOTERS_INTERVAL_US)
		return;
	c->leader->voters_checked_us = now_us;
	missing = missing_voter(c, now_us);
	if (voters->count > wanted) {
		if (missing >= 0)
			control_remove_voter(
				c, (uint32_t)missing, now_us,
				(now_us -
				 c->leader->voter_contact_us[missing]) /
					LWS_US_PER_MS);
		control_log_pump(c);
		return;
	}
	if (voters->count == wanted && missing < 0)
		return;
	hello = voters->count < RAFT_VOTERS_MAX ? voter_candidate(c) : NULL;
	if (hello)
		control_add_voter(c, hello, now_us);
	control_log_pump(c);
}

/* Missing leader */

uint32_t control_voters_connected(struct control *c)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	uint32_t n = 0;

	for (uint32_t i = 0; i < voters->count; i++) {
		uint64_t id = voters->member[i].id;

		n += id == c->identity.member || control_peer_of_member(c, id);
	}
	return n;
}

static char *voters_missing(struct control *c, void *mem_ctx)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	char *names = talloc_strdup(mem_ctx, "");

	for (uint32_t i = 0; names && i < voters->count; i++) {
		uint64_t id = voters->member[i].id;

		if (id == c->identity.member || control_peer_of_member(c, id))
			continue;
		names = talloc_asprintf_append(names, "%s%s", *names ? "," : "",
					       voters->member[i].name);
	}
	return names;
}

void control_no_leader_tick(struct control *c, uint64_t now_us)
{
	char *missing;

	if (!c->raft)
		return;
	if (!c->leader_known_us || c->leader || control_leader_peer(c)) {
		c->leader_known_us = now_us;
		c->no_leader_log_us = now_us + NO_LEADER_LOG_US;
		return;
	}
	if (now_us < c->no_leader_log_us)
		return;
	c->no_leader_log_us = now_us + NO_LEADER_LOG_AGAIN_US;
	missing = voters_missing(c, c);
	lws_log_warn(
		c->daemon->log, "no_leader", "{s:I,s:b,s:I,s:I,s:s,s:s}",
		"for_ms",
		(json_int_t)((now_us - c->leader_known_us) / LWS_US_PER_MS),
		"votes",
		raft_is_voter(raft_voters(c->raft), c->identity.member),
		"voters", (json_int_t)raft_voters(c->raft)->count, "connected",
		(json_int_t)control_voters_connected(c), "missing",
		missing ? missing : "", "upstream",
		c->upstream ? peer_hello(c->upstream)->name : "");
	talloc_free(missing);
}
