#ifndef WIRE_SOCK_H
#define WIRE_SOCK_H

#include <stdbool.h>
#include <sys/socket.h>

/* Plain TCP sockets on numeric addresses, all non-blocking. */

socklen_t sock_addr(struct sockaddr_storage *ss, const char *addr, int port);
/* Returns a listening socket, -1 on failure with errno set. */
int sock_listen(const char *addr, int port);
int sock_port(int fd);
/* Returns a socket that is connected or connecting, -1 on failure. */
int sock_connect(const char *addr, int port);
/* Finds peers whose host is gone, and sends small messages at once. */
void sock_tune(int fd);

#endif
