#include "sock.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lws_error.h"

#define BACKLOG 1024

static int parse_addr(const char *addr, struct sockaddr_in *out)
{
	const char *colon = strrchr(addr, ':');
	char ip[INET_ADDRSTRLEN];
	char *end;
	long port;

	if (!colon || colon == addr || (size_t)(colon - addr) >= sizeof(ip))
		return LWS_E_ARGUMENT;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = '\0';
	port = strtol(colon + 1, &end, 10);
	/* strtol() would also take blanks and a sign. */
	if (*end || !isdigit((unsigned char)colon[1]) || port > 65535)
		return LWS_E_ARGUMENT;
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return LWS_E_ARGUMENT;
	return 0;
}

static int make_socket(void)
{
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return LWS_E_IO;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

int sock_listen(const char *addr, char *bound)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	char ip[INET_ADDRSTRLEN];
	int one = 1;
	int fd;

	if (parse_addr(addr, &sin))
		return LWS_E_ARGUMENT;
	fd = make_socket();
	if (fd < 0)
		return fd;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(fd, BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&sin, &len)) {
		close(fd);
		return LWS_E_IO;
	}
	inet_ntop(AF_INET, &sin.sin_addr, ip, sizeof(ip));
	snprintf(bound, SOCK_ADDR_MAX, "%s:%u", ip, ntohs(sin.sin_port));
	return fd;
}

int sock_accept(int listen_fd)
{
	int one = 1;
	int fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return LWS_E_IO;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

int sock_connect(const char *addr)
{
	struct sockaddr_in sin;
	int fd;

	if (parse_addr(addr, &sin) || !sin.sin_port)
		return LWS_E_ARGUMENT;
	fd = make_socket();
	if (fd < 0)
		return fd;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return LWS_E_IO;
	}
	return fd;
}

void sock_set_ack_timeout(int fd, uint32_t ms)
{
	unsigned int value = ms;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

int sock_error(int fd)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len))
		return errno;
	return error;
}

bool sock_addr_valid(const char *addr)
{
	struct sockaddr_in sin;

	return parse_addr(addr, &sin) == 0;
}

bool sock_addr_connectable(const char *addr)
{
	struct sockaddr_in sin;

	return parse_addr(addr, &sin) == 0 && sin.sin_port;
}
