#ifndef SOCK_H
#define SOCK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Non-blocking TCP sockets, addressed by IPv4 address and port.
 */

/* Buffer size for an "ip:port" string. */
#define SOCK_ADDR_MAX 64

/**
 * sock_listen() - bind and listen
 * @addr: "ip:port"; with port 0 the kernel chooses a free port
 * @bound: set to the bound address; has room for SOCK_ADDR_MAX bytes
 *
 * Several sockets may listen on the same address (SO_REUSEPORT).
 *
 * Return: descriptor, LWS_E_ARGUMENT or LWS_E_IO.
 */
int sock_listen(const char *addr, char *bound);

/** sock_accept() - accept a connection; returns a descriptor or LWS_E_IO */
int sock_accept(int listen_fd);

/**
 * sock_connect() - start to connect
 * @addr: "ip:port"
 *
 * Return: descriptor, LWS_E_ARGUMENT or LWS_E_IO.
 */
int sock_connect(const char *addr);

/**
 * sock_set_ack_timeout() - limit how long sent bytes stay unacknowledged
 * @fd: socket
 * @ms: time after which the kernel ends the connection (TCP_USER_TIMEOUT)
 */
void sock_set_ack_timeout(int fd, uint32_t ms);

/** sock_error() - pending error of a socket as an errno value, 0 for none */
int sock_error(int fd);

/** sock_addr_valid() - true for "ip:port" with an IPv4 address */
bool sock_addr_valid(const char *addr);

/** sock_addr_connectable() - true for a valid address whose port is not 0 */
bool sock_addr_connectable(const char *addr);

#endif
