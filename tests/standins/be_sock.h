#ifndef STANDINS_BE_SOCK_H
#define STANDINS_BE_SOCK_H

#include <stdbool.h>
#include <stddef.h>

#include "base/kn.h"

/* A plain TCP caller on 127.0.0.1, driven beside a kernel in one process. */
struct be_sock {
	int fd;
	char in[65536];
	size_t len;
	bool closed; /* the other side has closed or reset the connection */
};

void be_connect(struct be_sock *sock, int port);
/* Listens on a free port, returned in *port; returns the descriptor. */
int be_listen(int *port);
/* Turns the kernel until a connection has been accepted. */
bool be_accept(struct kn *kn, int listener, struct be_sock *sock, int wait_ms);
void be_close(struct be_sock *sock);
void be_write(struct kn *kn, struct be_sock *sock, const void *data,
	      size_t len);
void be_puts(struct kn *kn, struct be_sock *sock, const char *text);
/* Turns the kernel until text has been received, or until the time is up. */
bool be_wait_text(struct kn *kn, struct be_sock *sock, const char *text,
		  int wait_ms);
bool be_wait_closed(struct kn *kn, struct be_sock *sock, int wait_ms);
/* Turns the kernel for a while. */
void be_turn(struct kn *kn, int wait_ms);
int be_count(const struct be_sock *sock, const char *text);

#endif
