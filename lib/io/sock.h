#ifndef SOCK_H
#define SOCK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: TCP sockets by IP numbers.
 */

#define SOCK_ADDR_MAX 64

/**
 * sock_listen() - bind and listen
 * @addr: "ip:port", port 0 for any
 * @bound: the address that was bound, at least SOCK_ADDR_MAX bytes
 *
 * Several sockets may listen on one address (SO_REUSEPORT).
 *
 * Return: descriptor, LWS_E_ARGUMENT or LWS_E_IO.
 */
int sock_listen(const char *addr, char *bound);

/** sock_accept() - accept without blocking; descriptor or LWS_E_IO */
int sock_accept(int listen_fd);

/** sock_connect() - begin to connect; descriptor, ARGUMENT or IO */
int sock_connect(const char *addr);

/**
 * sock_set_silence() - end the connection when bytes stay unacknowledged
 * @fd: socket
 * @ms: for this long
 */
void sock_set_silence(int fd, uint32_t ms);

/** sock_error() - pending error of a socket, 0 for none */
int sock_error(int fd);

/** sock_addr_valid() - "ip:port" with an IP number */
bool sock_addr_valid(const char *addr);

#endif
