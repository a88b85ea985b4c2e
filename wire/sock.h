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
/*
 * From now on closing the socket drops what the other side has not received
 * yet, and resets the connection. So does the end of this process.
 */
void sock_reset_on_close(int fd);
/*
 * The kernel drops the connection, and what was to be sent, once bytes have not
 * been acknowledged for so long, also while this process is paused.
 */
void sock_ack_timeout(int fd, int timeout_ms);
/* Finds peers whose host is gone, and sends small messages at once. */
void sock_tune(int fd);

#endif
