/*
 * A control machine is replaced by another one; when the successor has had
 * catch_up_s, another control machine loses its disk.
 *
 * TROUBLE=0: neither; 1: both; 2: only the replacement; 3: only the loss.
 */
#include "kit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CATCH_UP_MS 4000
/* Beyond what the pages ask for. */
#define MARGIN_MS 300
/* After the disk loss; recovery_s is 12. */
#define WATCH_MS 45000

static const struct kit_daemon daemons[] = {
	{ .host = 1, .zone = 1, .control = true, .bootstrap = true },
	{ .host = 2, .zone = 2, .control = true, .bootstrap = true },
	{ .host = 3, .zone = 3, .control = true, .bootstrap = true },
	{ .host = 11, .zone = 1 },
	{ .host = 12, .zone = 2 },
};

static int version_of(const char *body)
{
	const char *at = strstr(body, "\"version\":");

	return at ? atoi(at + 10) : 0;
}

/* Reads the config at each host; the newest version that came, 0 for none. */
static int read_back(const int *hosts)
{
	static char body[65536];
	int newest = 0;

	for (int i = 0; hosts[i]; i++) {
		int status = kit_http(hosts[i], KIT_PORT_CONTROL, "GET",
				      "/v1/config/read", "", body,
				      sizeof(body), 1000);

		rec("operator: read at %s: %d, version %d", kit_name(hosts[i]),
		    status, status == 200 ? version_of(body) : 0);
		if (status == 200 && version_of(body) > newest)
			newest = version_of(body);
	}
	return newest;
}

static bool write_one(int host, int number)
{
	struct kit_session c;
	struct kit_answer a = { 0 };
	char id[32];
	bool ok;

	if (!kit_open(&c, host, "notes", "key-of-t1"))
		return false;
	snprintf(id, sizeof(id), "w%d", number);
	ok = kit_query(&c, id, "WRITE 1a4 data", &a, 3000) && !*a.error;
	rec("consumer: write %s at %s: %s %s", id, kit_name(host),
	    ok ? "done" : "not done:", a.error);
	kit_close(&c);
	return ok;
}

int main(int argc, char **argv)
{
	const int old_hosts[] = { 1, 2, 3, 0 };
	const int new_hosts[] = { 2, 3, 4, 0 };
	const int *hosts = old_hosts;
	uint64_t ready_ms;
	uint64_t until;
	int trouble;
	int newest = 0;
	int served = 0;
	int number = 1;

	kit_init(argc, argv);
	trouble = kit_trouble();
	memcpy(kit_seeds, old_hosts, sizeof(kit_seeds));
	db_start(3);
	for (size_t i = 0; i < sizeof(daemons) / sizeof(daemons[0]); i++)
		kit_start(&daemons[i]);
	if (!kit_replace_config(old_hosts, kit_config(5, ""), 10000) ||
	    !kit_wait_ready(11, 10000) || !kit_wait_ready(12, 10000))
		kit_exit(2);
	kit_sleep(4000);
	if (!write_one(11, number++) && !write_one(12, number++))
		kit_exit(2);

	if (trouble == 1 || trouble == 2) {
		kit_start(&(struct kit_daemon){
			.host = 4, .zone = 1, .control = true });
		kit_sleep(1000);
		kit_signal(1, SIGTERM);
		if (!kit_wait(1, 6000))
			kit_exit(2);
		rec("machine n-1 is removed for good; its successor is n-4");
		hosts = new_hosts;
	}
	ready_ms = kit_ms() + CATCH_UP_MS + MARGIN_MS;
	while (kit_ms() < ready_ms)
		kit_sleep(10);
	if (!kit_replace_config(hosts, kit_config(9, ""), 5000))
		kit_exit(2);
	if (trouble == 1 || trouble == 3) {
		kit_signal(2, SIGKILL);
		kit_wait(2, 1000);
		kit_wipe(2);
		kit_sleep(1000);
		kit_start(&(struct kit_daemon){
			.host = 2, .zone = 2, .control = true });
	}
	until = kit_ms() + WATCH_MS;
	while (kit_ms() < until) {
		kit_sleep(2000);
		newest = read_back(hosts);
		if (kit_ms() + 20000 > until) {
			served += write_one(11, number++);
			served += write_one(12, number++);
		}
	}
	rec("version 9 was acknowledged; read back at the end: %d; writes "
	    "served in the last 20 s: %d",
	    newest, served);
	kit_exit(newest == 9 ? 0 : 1);
}
