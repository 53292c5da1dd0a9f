/*
 * Proxy before the internal ports of the control machines. While it is cut, it
 * forwards nothing on the connections of one machine, and says nothing: on those
 * whose first bytes have its name.
 *
 * proxy FILE LISTEN=TARGET...
 *
 * SIGUSR1: cuts off the machine whose name stands in FILE. SIGUSR2: ends that.
 */
#include "net.h"

#define FIRST_MAX 1024

struct link {
	int client;
	int server;
	const char *target;
	size_t first_len;
	char first[FIRST_MAX + 1];
};

static const char *name_file;
static char name[64];
static volatile sig_atomic_t cut;

static void on_signal(int signum)
{
	cut = signum == SIGUSR1;
}

static bool concerns(const struct link *l)
{
	return *name && memmem(l->first, l->first_len, name, strlen(name));
}

static void wait_while_cut(const struct link *l)
{
	while (cut && concerns(l))
		sleep_ms(5);
}

static void copy(const struct link *l, int from, int to)
{
	char buffer[16384];
	ssize_t n;

	while ((n = recv(from, buffer, sizeof(buffer), 0)) > 0) {
		wait_while_cut(l);
		if (!send_all(to, buffer, (size_t)n))
			break;
	}
	wait_while_cut(l);
	shutdown(from, SHUT_RD);
	shutdown(to, SHUT_WR);
}

static void *copy_back(void *arg)
{
	const struct link *l = arg;

	copy(l, l->server, l->client);
	return NULL;
}

static void *serve(void *arg)
{
	struct link *l = arg;
	pthread_t back;
	ssize_t n = recv(l->client, l->first, FIRST_MAX, 0);

	if (n > 0) {
		l->first_len = (size_t)n;
		wait_while_cut(l);
		l->server = dial(l->target, 2000);
	}
	if (n > 0 && l->server >= 0) {
		struct timeval none = { 0 };

		setsockopt(l->server, SOL_SOCKET, SO_RCVTIMEO, &none,
			   sizeof(none));
		if (send_all(l->server, l->first, l->first_len) &&
		    !pthread_create(&back, NULL, copy_back, l)) {
			copy(l, l->client, l->server);
			pthread_join(back, NULL);
		}
		close(l->server);
	}
	close(l->client);
	free(l);
	return NULL;
}

static void *accept_all(void *arg)
{
	char *pair = arg;
	char *target = strchr(pair, '=');
	struct sockaddr_in sin;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	*target++ = '\0';
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!parse_addr(pair, &sin) ||
	    bind(fd, (struct sockaddr *)&sin, sizeof(sin)) || listen(fd, 256))
		exit(2);
	for (;;) {
		struct link *l = calloc(1, sizeof(*l));
		pthread_t thread;

		l->target = target;
		l->server = -1;
		l->client = accept(fd, NULL, NULL);
		if (l->client < 0) {
			free(l);
			continue;
		}
		setsockopt(l->client, IPPROTO_TCP, TCP_NODELAY, &one,
			   sizeof(one));
		pthread_create(&thread, NULL, serve, l);
		pthread_detach(thread);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	sigset_t set;

	if (argc < 3)
		return 2;
	name_file = argv[1];
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGUSR1);
	sigaddset(&set, SIGUSR2);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	for (int i = 2; i < argc; i++) {
		pthread_t thread;

		pthread_create(&thread, NULL, accept_all, argv[i]);
	}
	for (;;) {
		int signum;
		FILE *f;

		sigwait(&set, &signum);
		f = signum == SIGUSR1 ? fopen(name_file, "r") : NULL;
		if (f && fscanf(f, "%63s", name) != 1)
			*name = '\0';
		if (f)
			fclose(f);
		on_signal(signum);
	}
}
