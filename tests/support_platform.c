#include "support_platform.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SEEDS_COUNT 3
#define FAILURE_DOMAINS_COUNT 3

char *test_platform_settings(const struct test_instance *instance)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(
		s,
		"node_name=n-%d\nzone=z%d\nip=%s.%d\n"
		"internal_ports=%d,7575\nbootstrap=%s\n"
		"fault_tolerance.machines=%u\nbounds.grace_s=%d\n"
		"bounds.revoke_ms=%d\ncloud_api.address=%s.%d:%d\nseeds=",
		instance->host,
		(instance->host - 1) % FAILURE_DOMAINS_COUNT + 1, instance->net,
		instance->host, TEST_PORT_PEERS,
		instance->bootstrap ? "true" : "false",
		instance->data_losses_max, TEST_GRACE_MS / 1000, TEST_REVOKE_MS,
		instance->net, instance->promote_host, TEST_PORT_PROMOTE);
	for (int i = 1; i <= SEEDS_COUNT; i++)
		g_string_append_printf(
			s, "%s%s.%d:%d", i > 1 ? "," : "", instance->net,
			i + instance->seeds_offset, TEST_PORT_CONTROL);
	if (instance->data_dir)
		g_string_append_printf(
			s, "\nlisten.control=%s.%d:%d\ndata_dir=%s\n",
			instance->net, instance->host, TEST_PORT_CONTROL,
			instance->data_dir);
	else
		g_string_append_printf(
			s, "\nlisten.front=%s.%d:%d\nlisten.ready=%s.%d:%d\n",
			instance->net, instance->host, TEST_PORT_CALLERS,
			instance->net, instance->host, TEST_PORT_READY);
	return g_string_free(s, FALSE);
}

char *test_platform_config(int version, const char *keys, int rate,
			   int connections)
{
	g_autoptr(GString) others = g_string_new(NULL);

	for (int i = 0; i < TEST_OTHER_CUSTOMERS; i++)
		g_string_append_printf(others,
				       ",{\"name\":\"other-%d\","
				       "\"api_keys\":[\"other-key-%d\"]}",
				       i, i);
	return g_strdup_printf(
		"{\"version\":%d,\"routes\":["
		"{\"name\":\"a\",\"host\":\"pay\",\"path_prefix\":\"/\","
		"\"type\":\"primary\",\"timeout_ms\":1000,"
		"\"target_latency_ms\":200,\"priority\":1,\"service\":\"g1\","
		"\"max_attempts\":2,\"public\":false},"
		"{\"name\":\"b\",\"host\":\"door\",\"path_prefix\":\"/\","
		"\"type\":\"read_your_writes\",\"timeout_ms\":1000,"
		"\"target_latency_ms\":400,\"priority\":2,\"service\":\"g1\","
		"\"max_attempts\":2,\"max_stale_ms\":%d,\"public\":false}],"
		"\"services\":[{\"name\":\"g1\",\"max_conns\":%d,"
		"\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":3000},"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[%s],"
		"\"rate_per_s\":%d,\"burst\":%d}%s]}",
		version, TEST_DOOR_STALENESS_MS, connections, keys, rate, rate,
		others->str);
}

char *test_program(const char *name)
{
	const char *build = g_getenv("LWS_BUILD");

	return g_strdup_printf("%s/%s", build ? build : "build", name);
}

int test_connect(const char *net, int host, int port, int ms)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port) };
	g_autofree char *ip = g_strdup_printf("%s.%d", net, host);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t len = sizeof(error);

	inet_pton(AF_INET, ip, &sin.sin_addr);
	if ((connect(fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	     errno != EINPROGRESS) ||
	    poll(&p, 1, ms) <= 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error ||
	    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK)) {
		close(fd);
		return -1;
	}
	return fd;
}

int test_read(int fd, GString *in, int ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char buf[65536];
	ssize_t got;

	if (ms <= 0 || poll(&p, 1, ms) <= 0)
		return 0;
	got = read(fd, buf, sizeof(buf));
	if (got <= 0)
		return -1;
	g_string_append_len(in, buf, got);
	return 1;
}

int test_http(const char *net, int host, int port, const char *method,
	      const char *path, const char *body, int ms, char **answer)
{
	gint64 deadline_us = g_get_monotonic_time() + ms * 1000;
	g_autofree char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		method, path, strlen(body), body);
	g_autoptr(GString) in = g_string_new(NULL);
	int fd = test_connect(net, host, port, ms);
	const char *blank;
	int status = 0;

	if (fd < 0)
		return 0;
	if (send(fd, request, strlen(request), MSG_NOSIGNAL) > 0) {
		while (test_read(fd, in,
				 (int)((deadline_us - g_get_monotonic_time()) /
				       1000)) > 0)
			;
	}
	close(fd);
	blank = strstr(in->str, "\r\n\r\n");
	if (blank)
		sscanf(in->str, "HTTP/1.1 %d", &status);
	if (answer)
		*answer = g_strdup(blank ? blank + 4 : "");
	return status;
}
