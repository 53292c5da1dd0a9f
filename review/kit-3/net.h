#ifndef REVIEW_KIT3_NET_H
#define REVIEW_KIT3_NET_H

/* Blocking sockets, the line protocol and HTTP calls, for the test clients. */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define LINE_SIZE 4096

static inline double now_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static inline void sleep_ms(unsigned int ms)
{
	struct timespec ts = { .tv_sec = ms / 1000,
			       .tv_nsec = (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

static inline bool parse_addr(const char *text, struct sockaddr_in *out)
{
	char copy[64];
	char *colon;

	snprintf(copy, sizeof(copy), "%s", text);
	colon = strrchr(copy, ':');
	if (!colon)
		return false;
	*colon = '\0';
	*out = (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port =
					     htons((uint16_t)atoi(colon + 1)) };
	return inet_pton(AF_INET, copy, &out->sin_addr) == 1;
}

/* Returns a connected socket with a time limit for each call, or -1. */
static inline int dial(const char *addr, unsigned int timeout_ms)
{
	struct timeval limit = { .tv_sec = timeout_ms / 1000,
				 .tv_usec = (timeout_ms % 1000) * 1000 };
	struct sockaddr_in sin;
	int one = 1;
	int fd;

	if (!parse_addr(addr, &sin))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin))) {
		close(fd);
		return -1;
	}
	return fd;
}

static inline bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* A connection that is read line by line. */
struct conn {
	int fd;
	size_t len;
	char buffer[LINE_SIZE];
};

/* Reads a line without its end; false after an error or a time-out. */
static inline bool read_line(struct conn *c, char *out, size_t size)
{
	for (;;) {
		char *lf = memchr(c->buffer, '\n', c->len);
		ssize_t n;

		if (lf) {
			size_t used = (size_t)(lf - c->buffer) + 1;
			size_t keep = used - 1;

			if (keep && c->buffer[keep - 1] == '\r')
				keep--;
			if (keep >= size)
				keep = size - 1;
			memcpy(out, c->buffer, keep);
			out[keep] = '\0';
			c->len -= used;
			memmove(c->buffer, c->buffer + used, c->len);
			return true;
		}
		if (c->len == sizeof(c->buffer))
			return false;
		n = recv(c->fd, c->buffer + c->len, sizeof(c->buffer) - c->len,
			 0);
		if (n <= 0)
			return false;
		c->len += (size_t)n;
	}
}

/* Answer to one statement. */
struct answer {
	bool received;
	bool success;
	char error[128];
	char row[LINE_SIZE];
	char tag[128];
	char state;
};

static inline struct answer ask(struct conn *c, const char *fmt, ...)
{
	struct answer a = { 0 };
	char text[LINE_SIZE];
	char line[LINE_SIZE];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text) - 2, fmt, ap);
	va_end(ap);
	memcpy(text + n, "\r\n", 2);
	if (!send_all(c->fd, text, (size_t)n + 2))
		return a;
	while (read_line(c, line, sizeof(line))) {
		if (strncmp(line, "DATAROW ", 8) == 0)
			snprintf(a.row, sizeof(a.row), "%s", line + 8);
		else if (strncmp(line, "COMPLETE ", 9) == 0)
			snprintf(a.tag, sizeof(a.tag), "%.127s", line + 9);
		else if (strncmp(line, "ERROR ", 6) == 0)
			snprintf(a.error, sizeof(a.error), "%.127s", line + 6);
		else if (strncmp(line, "READY ", 6) == 0) {
			a.received = true;
			a.state = line[6];
			a.success = !*a.error;
			return a;
		}
	}
	return a;
}

/* Opens a session; c->fd is -1 if that fails. */
static inline bool open_session(struct conn *c, const char *addr,
				const char *database, const char *key)
{
	struct answer a;

	*c = (struct conn){ .fd = dial(addr, 4000) };
	if (c->fd < 0)
		return false;
	a = ask(c, "STARTUP %s %s", database, key);
	if (a.received && a.success)
		return true;
	close(c->fd);
	c->fd = -1;
	return false;
}

static inline void close_session(struct conn *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	c->len = 0;
}

/* Returns the HTTP status, or 0 without an answer. */
static inline int http_call(const char *addr, const char *method,
			    const char *path, const char *body, char *out,
			    size_t size)
{
	char head[512];
	char *answer;
	size_t got = 0;
	size_t room = 1 << 20;
	int status = 0;
	int fd = dial(addr, 1500);
	char *end;

	if (fd < 0)
		return 0;
	snprintf(
		head, sizeof(head),
		"%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
		"Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		method, path, addr, strlen(body));
	answer = calloc(1, room + 1);
	if (send_all(fd, head, strlen(head)) &&
	    send_all(fd, body, strlen(body))) {
		ssize_t n;

		while (got < room &&
		       (n = recv(fd, answer + got, room - got, 0)) > 0)
			got += (size_t)n;
		answer[got] = '\0';
		if (sscanf(answer, "HTTP/1.1 %d", &status) != 1)
			status = 0;
	}
	close(fd);
	end = strstr(answer, "\r\n\r\n");
	if (out)
		snprintf(out, size, "%s", end ? end + 4 : "");
	free(answer);
	return status;
}

/* Splits a list of addresses in place. */
static inline int split(char *list, char **out, int max)
{
	int n = 0;
	char *save;

	for (char *at = strtok_r(list, ",", &save); at && n < max;
	     at = strtok_r(NULL, ",", &save))
		out[n++] = at;
	return n;
}

#endif
