#ifndef REVIEW_PATH_H
#define REVIEW_PATH_H

#include <stdbool.h>

#define PATHS_MAX 64

/*
 * TCP paths on 127.0.0.1, served by one thread. While a path is cut it carries
 * nothing. When the cut heals, the bytes that were on their way arrive, unless
 * their sender has reset the connection; connections that were opened during
 * the cut are reset, as their first packet was lost.
 */
void path_start(void);
void path_stop(void);
/* Returns an id, -1 on failure. */
int path_new(int target_port);
int path_port(int id);
void path_cut(int id);
void path_heal(int id);
/*
 * The same for the connections of one process only; 0: of none. The process
 * must have been named with path_know() before it connected.
 */
void path_block(int id, int pid);
void path_know(int pid);
/* Connections from now on are told apart by their process. */
void path_identify(int id);
/*
 * The target has ended: its connections are reset, and new ones are refused
 * until it begins again. Returns false if it can't listen.
 */
void path_end(int id);
bool path_begin(int id);

#endif
