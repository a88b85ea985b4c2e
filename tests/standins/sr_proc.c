#include "tests/standins/sr_proc.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

struct proc {
	pid_t pid;
	bool ended;
	int code;
};

static struct proc procs[SR_PROCS_MAX];
static volatile int proc_count;
static char out_dir[512];

bool sr_proc_init(const char *dir)
{
	g_strlcpy(out_dir, dir, sizeof(out_dir));
	return g_mkdir_with_parents(dir, 0700) == 0;
}

static int open_output(const char *name, const char *suffix)
{
	char path[700];

	/* A restarted process appends to its earlier log. */
	snprintf(path, sizeof(path), "%s/%s%s", out_dir, name, suffix);
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
}

static void run_child(char **argv, int out, int log)
{
	int null = open("/dev/null", O_RDONLY);

	/* The child must not outlive a runner that is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(null, 0);
	dup2(out, 1);
	dup2(log, 2);
	execv(argv[0], argv);
	_exit(127);
}

int sr_proc_spawn(const char *name, char **argv)
{
	int out, log;
	pid_t pid;

	if (proc_count >= SR_PROCS_MAX)
		return -1;
	out = open_output(name, ".out");
	log = open_output(name, ".log");
	pid = out < 0 || log < 0 ? -1 : fork();
	if (pid == 0)
		run_child(argv, out, log);
	if (out >= 0)
		close(out);
	if (log >= 0)
		close(log);
	if (pid < 0)
		return -1;
	procs[proc_count].pid = pid;
	return proc_count++;
}

bool sr_proc_ended(int id, int *code)
{
	struct proc *proc = &procs[id];
	int status;

	if (!proc->ended && waitpid(proc->pid, &status, WNOHANG) == proc->pid) {
		proc->ended = true;
		proc->code = WIFEXITED(status) ? WEXITSTATUS(status) :
						 -WTERMSIG(status);
	}
	*code = proc->code;
	return proc->ended;
}

bool sr_proc_signal(int id, int number)
{
	int code;

	return !sr_proc_ended(id, &code) && kill(procs[id].pid, number) == 0;
}

pid_t sr_proc_pid(int id)
{
	return procs[id].pid;
}

void sr_proc_kill_all(void)
{
	int i, status;

	for (i = 0; i < proc_count; i++)
		if (!procs[i].ended)
			kill(procs[i].pid, SIGKILL);
	for (i = 0; i < proc_count; i++) {
		if (!procs[i].ended)
			waitpid(procs[i].pid, &status, 0);
		procs[i].ended = true;
	}
}
