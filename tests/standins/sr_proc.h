#ifndef STANDINS_SR_PROC_H
#define STANDINS_SR_PROC_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define SR_PROCS_MAX 4096

/* The processes that a scenario has started; ids count from 0. */
bool sr_proc_init(const char *dir);
/* Starts argv with output in <dir>/<name>.out and .log; -1 on failure. */
int sr_proc_spawn(const char *name, char **argv);
bool sr_proc_signal(int id, int number);
/* Exit code, or minus the signal number; false while it runs. */
bool sr_proc_ended(int id, int *code);
pid_t sr_proc_pid(int id);
/* Kills all that still run, also frozen ones. */
void sr_proc_kill_all(void);

#endif
