/*
 * faultlayer: a library for tests that is loaded into one process with LD_PRELOAD and has its clock and
 * its system calls go wrong as a control file says. No release build contains it.
 *
 * The wall clock: the entries of the process's own vDSO page are rewritten, since Go reads the clock there
 * without the C library. System calls: a seccomp filter, which the process puts on itself, raises SIGSYS
 * for the calls that the environment names; the handler does the call or answers it with a fault. The
 * control file is mapped and shared with the test, which changes it while the process runs; its layout is
 * that of struct control, and faultlayer.go has the same.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <elf.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <signal.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <netinet/in.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

#include "machine.h"

#define MAGIC 0x66617566746c7931ULL
#define MAX_RULES 32

enum call {
	CALL_NONE, CALL_ACCEPT, CALL_CONNECT, CALL_SOCKET, CALL_READ, CALL_WRITE, CALL_WAIT, CALL_SHUTDOWN,
	CALL_SETSOCKOPT, CALL_FILE_WRITE, CALL_FILE_SYNC, CALL_RENAME, CALL_OPEN, CALL_EPOLL_CTL
};

enum action { ACT_ERRNO = 1, ACT_SHORT = 2, ACT_BREAK = 3, ACT_DELAY = 4 };

struct rule {
	uint32_t call;   /* enum call; 0: the rule is off */
	uint32_t action; /* enum action */
	int32_t value;   /* errno, most bytes, or microseconds */
	uint32_t every;  /* one call of so many; 0 and 1: each */
	int64_t left;    /* calls that are still to go wrong; below 0: any number */
	uint32_t port;   /* only sockets with this local or remote port; 0: any */
	uint32_t seen;   /* calls that the rule is for */
	uint64_t hits;   /* calls that went wrong */
	uint64_t spare;
};
_Static_assert(sizeof(struct rule) == 48, "faultlayer.go has the same layout");

struct control {
	uint64_t magic;
	int64_t clock_offset; /* nanoseconds that the wall clock is ahead */
	struct rule rules[MAX_RULES];
};

static struct control *control;

/* The only place from which the filter lets trapped calls through. */
long faultlayer_syscall(long nr, long a, long b, long c, long d, long e, long f);
extern char faultlayer_syscall_after[];
__asm__(
	".text\n"
	".globl faultlayer_syscall\n"
	".type faultlayer_syscall,@function\n"
	"faultlayer_syscall:\n"
	MACHINE_SYSCALL_BODY
	".globl faultlayer_syscall_after\n"
	"faultlayer_syscall_after:\n"
	"	ret\n");

#define CALL3(nr, a, b, c) faultlayer_syscall(nr, (long)(a), (long)(b), (long)(c), 0, 0, 0)

/* Clocks. */

static int fake_clock_gettime(clockid_t id, struct timespec *ts)
{
	long r = CALL3(SYS_clock_gettime, id, ts, 0);
	if (r == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
		int64_t offset = __atomic_load_n(&control->clock_offset, __ATOMIC_RELAXED);
		int64_t ns = (int64_t)ts->tv_sec * 1000000000 + ts->tv_nsec + offset;
		ts->tv_sec = ns / 1000000000;
		ts->tv_nsec = ns % 1000000000;
	}
	return (int)r;
}

static int fake_gettimeofday(struct timeval *tv, void *tz)
{
	struct timespec ts;
	(void)tz;
	fake_clock_gettime(CLOCK_REALTIME, &ts);
	if (tv) {
		tv->tv_sec = ts.tv_sec;
		tv->tv_usec = ts.tv_nsec / 1000;
	}
	return 0;
}

static time_t fake_time(time_t *t)
{
	struct timespec ts;
	fake_clock_gettime(CLOCK_REALTIME, &ts);
	if (t)
		*t = ts.tv_sec;
	return ts.tv_sec;
}

static void fail(const char *what)
{
	fprintf(stderr, "faultlayer: %s: %s\n", what, strerror(errno));
	_exit(97);
}

static void patch_clocks(void)
{
	char *base = (char *)getauxval(AT_SYSINFO_EHDR);
	if (!base) {
		errno = ENOENT;
		fail("no vDSO");
	}
	Elf64_Ehdr *head = (Elf64_Ehdr *)base;
	Elf64_Phdr *ph = (Elf64_Phdr *)(base + head->e_phoff);
	char *bias = base;
	size_t size = 0;
	Elf64_Dyn *dyn = NULL;
	for (int i = 0; i < head->e_phnum; i++) {
		if (ph[i].p_type == PT_LOAD) {
			bias = base + ph[i].p_offset - ph[i].p_vaddr;
			size = ph[i].p_offset + ph[i].p_memsz;
		} else if (ph[i].p_type == PT_DYNAMIC) {
			dyn = (Elf64_Dyn *)(base + ph[i].p_offset);
		}
	}
	Elf64_Sym *symbols = NULL;
	char *names = NULL;
	for (; dyn && dyn->d_tag != DT_NULL; dyn++) {
		if (dyn->d_tag == DT_SYMTAB)
			symbols = (Elf64_Sym *)(bias + dyn->d_un.d_ptr);
		else if (dyn->d_tag == DT_STRTAB)
			names = bias + dyn->d_un.d_ptr;
	}
	if (!symbols || !names || !size) {
		errno = ENOEXEC;
		fail("the vDSO has no symbols");
	}
	size = (size + 4095) & ~(size_t)4095;
	if (mprotect(base, size, PROT_READ | PROT_WRITE | PROT_EXEC) != 0)
		fail("mprotect vDSO");
	/* The string table follows the symbols in every vDSO of Linux. */
	for (Elf64_Sym *s = symbols; (char *)(s + 1) <= names; s++) {
		const char *name = names + s->st_name;
		if (ELF64_ST_TYPE(s->st_info) != STT_FUNC || s->st_shndx == SHN_UNDEF)
			continue;
		if (strcmp(name, VDSO_CLOCK_GETTIME) == 0)
			machine_jump(bias + s->st_value, (void *)fake_clock_gettime);
		else if (strcmp(name, VDSO_GETTIMEOFDAY) == 0)
			machine_jump(bias + s->st_value, (void *)fake_gettimeofday);
		else if (strcmp(name, VDSO_TIME) == 0)
			machine_jump(bias + s->st_value, (void *)fake_time);
	}
	if (mprotect(base, size, PROT_READ | PROT_EXEC) != 0)
		fail("mprotect vDSO back");
}

/* System calls. */

/* kind_of tells what a call is in the rules; file tells whether its descriptor is to be looked at. */
static enum call kind_of(long nr, int *transfer)
{
	*transfer = 0;
	switch (nr) {
	case SYS_accept: case SYS_accept4: return CALL_ACCEPT;
	case SYS_connect: return CALL_CONNECT;
	case SYS_socket: return CALL_SOCKET;
	case SYS_epoll_pwait: return CALL_WAIT;
	case SYS_epoll_ctl: return CALL_EPOLL_CTL;
	case SYS_shutdown: return CALL_SHUTDOWN;
	case SYS_setsockopt: return CALL_SETSOCKOPT;
	case SYS_fsync: case SYS_fdatasync: return CALL_FILE_SYNC;
	case SYS_renameat: case SYS_renameat2: return CALL_RENAME;
	case SYS_openat: return CALL_OPEN;
	case SYS_read: case SYS_readv: case SYS_recvfrom: case SYS_recvmsg:
		*transfer = 1;
		return CALL_READ;
	case SYS_write: case SYS_writev: case SYS_sendto: case SYS_sendmsg:
		*transfer = 1;
		return CALL_WRITE;
	case SYS_pwrite64: return CALL_FILE_WRITE;
	}
	if (nr == MACHINE_EPOLL_WAIT)
		return CALL_WAIT;
	if (nr == MACHINE_RENAME)
		return CALL_RENAME;
	if (nr == MACHINE_OPEN)
		return CALL_OPEN;
	return CALL_NONE;
}

/* narrowed tells what a transfer is by its descriptor: of a socket, of a file, or of neither. */
static enum call narrowed(enum call call, int fd)
{
	struct stat st;
	if (fd <= 2 || CALL3(SYS_fstat, fd, &st, 0) != 0)
		return CALL_NONE;
	if (S_ISSOCK(st.st_mode))
		return call;
	return S_ISREG(st.st_mode) && call == CALL_WRITE ? CALL_FILE_WRITE : CALL_NONE;
}

static int has_port(int fd, uint32_t port)
{
	struct sockaddr_in at;
	socklen_t len = sizeof at;
	if (CALL3(SYS_getsockname, fd, &at, &len) == 0 && ntohs(at.sin_port) == port)
		return 1;
	len = sizeof at;
	return CALL3(SYS_getpeername, fd, &at, &len) == 0 && ntohs(at.sin_port) == port;
}

static int matches_port(enum call call, const long *arg, uint32_t port)
{
	if (call == CALL_CONNECT) {
		const struct sockaddr_in *to = (const struct sockaddr_in *)arg[1];
		return to && to->sin_family == AF_INET && ntohs(to->sin_port) == port;
	}
	return call != CALL_SOCKET && call != CALL_WAIT && has_port((int)arg[0], port);
}

/* chosen finds the rule that a call falls under now; NULL: it is done as it is. */
static struct rule *chosen(enum call call, const long *arg)
{
	for (int i = 0; i < MAX_RULES; i++) {
		struct rule *r = &control->rules[i];
		if (__atomic_load_n(&r->call, __ATOMIC_ACQUIRE) != call)
			continue;
		if (r->port && !matches_port(call, arg, r->port))
			continue;
		uint32_t seen = __atomic_add_fetch(&r->seen, 1, __ATOMIC_RELAXED);
		if (r->every > 1 && seen % r->every != 0)
			continue;
		int64_t left = __atomic_load_n(&r->left, __ATOMIC_RELAXED);
		if (left == 0)
			continue;
		if (left > 0)
			__atomic_sub_fetch(&r->left, 1, __ATOMIC_RELAXED);
		__atomic_add_fetch(&r->hits, 1, __ATOMIC_RELAXED);
		return r;
	}
	return NULL;
}

/* shortened does a transfer of at most so many bytes. */
static long shortened(long nr, const long *arg, size_t most)
{
	struct iovec one;
	const struct iovec *all = NULL;
	size_t count = 0;
	switch (nr) {
	case SYS_read: case SYS_write: case SYS_recvfrom: case SYS_sendto: case SYS_pwrite64: {
		size_t len = (size_t)arg[2] < most ? (size_t)arg[2] : most;
		return faultlayer_syscall(nr, arg[0], arg[1], (long)len, arg[3], arg[4], arg[5]);
	}
	case SYS_readv: case SYS_writev:
		all = (const struct iovec *)arg[1];
		count = (size_t)arg[2];
		break;
	default:
		all = ((const struct msghdr *)arg[1])->msg_iov;
		count = ((const struct msghdr *)arg[1])->msg_iovlen;
	}
	while (count > 0 && all->iov_len == 0) {
		all++;
		count--;
	}
	if (count == 0)
		return faultlayer_syscall(nr, arg[0], arg[1], arg[2], arg[3], arg[4], arg[5]);
	one = *all;
	if (one.iov_len > most)
		one.iov_len = most;
	if (nr == SYS_readv || nr == SYS_writev)
		return CALL3(nr, arg[0], &one, 1);
	struct msghdr msg = *(struct msghdr *)arg[1];
	msg.msg_iov = &one;
	msg.msg_iovlen = 1;
	return CALL3(nr, arg[0], &msg, arg[2]);
}

/* broken ends a connection as the kernel does when it gives it up: the other side gets a reset. */
static void broken(int fd)
{
	struct sockaddr none = {.sa_family = AF_UNSPEC};
	CALL3(SYS_connect, fd, &none, sizeof none);
}

static long answered(long nr, const long *arg)
{
	int transfer;
	enum call call = kind_of(nr, &transfer);
	if (transfer)
		call = narrowed(call, (int)arg[0]);
	struct rule *r = call == CALL_NONE ? NULL : chosen(call, arg);
	if (r) {
		switch (r->action) {
		case ACT_ERRNO:
			return -r->value;
		case ACT_SHORT:
			return shortened(nr, arg, (size_t)r->value);
		case ACT_BREAK:
			broken((int)arg[0]);
			return -r->value;
		case ACT_DELAY: {
			struct timespec t = {r->value / 1000000, (long)(r->value % 1000000) * 1000};
			CALL3(SYS_nanosleep, &t, NULL, 0);
		}
		}
	}
	return faultlayer_syscall(nr, arg[0], arg[1], arg[2], arg[3], arg[4], arg[5]);
}

/*
 * masked does rt_sigprocmask on the mask that the thread gets back after the handler, and never blocks SIGSYS:
 * a trapped call of a thread that blocks it would end the process. New threads block all signals for a while.
 */
static long masked(ucontext_t *u, const long *arg)
{
	uint64_t mask, set;
	if (arg[3] != sizeof mask)
		return -EINVAL;
	memcpy(&mask, &u->uc_sigmask, sizeof mask);
	if (arg[2])
		memcpy((void *)arg[2], &mask, sizeof mask);
	if (!arg[1])
		return 0;
	memcpy(&set, (const void *)arg[1], sizeof set);
	switch (arg[0]) {
	case SIG_BLOCK: mask |= set; break;
	case SIG_UNBLOCK: mask &= ~set; break;
	case SIG_SETMASK: mask = set; break;
	default: return -EINVAL;
	}
	mask &= ~(1ULL << (SIGSYS - 1));
	memcpy(&u->uc_sigmask, &mask, sizeof mask);
	return 0;
}

static void on_sigsys(int sig, siginfo_t *info, void *context)
{
	ucontext_t *u = context;
	long arg[6];
	(void)sig;
	machine_arguments(u, arg);
	if (info->si_syscall == SYS_rt_sigprocmask)
		machine_return(u, masked(u, arg));
	else
		machine_return(u, answered(info->si_syscall, arg));
}

/* The program may not take SIGSYS for itself. */
int sigaction(int sig, const struct sigaction *new, struct sigaction *old)
{
	static int (*real)(int, const struct sigaction *, struct sigaction *);
	if (!real)
		real = (int (*)(int, const struct sigaction *, struct sigaction *))dlsym(RTLD_NEXT, "sigaction");
	if (sig == SIGSYS && new && getenv("FAULT_LAYER_CALLS") && new->sa_sigaction != on_sigsys)
		return real(sig, NULL, old);
	return real(sig, new, old);
}

/* group is the calls that one name of FAULT_LAYER_CALLS stands for; NO_CALL ends them. */
struct group {
	const char *name;
	int calls[8];
};

static const struct group groups[] = {
	{"accept", {SYS_accept, SYS_accept4, NO_CALL}},
	{"connect", {SYS_connect, NO_CALL}},
	{"socket", {SYS_socket, NO_CALL}},
	{"read", {SYS_read, SYS_readv, SYS_recvfrom, SYS_recvmsg, NO_CALL}},
	{"write", {SYS_write, SYS_writev, SYS_sendto, SYS_sendmsg, SYS_pwrite64, NO_CALL}},
	{"wait", {SYS_epoll_pwait, MACHINE_EPOLL_WAIT, NO_CALL}},
	{"epoll_ctl", {SYS_epoll_ctl, NO_CALL}},
	{"shutdown", {SYS_shutdown, NO_CALL}},
	{"setsockopt", {SYS_setsockopt, NO_CALL}},
	{"sync", {SYS_fsync, SYS_fdatasync, NO_CALL}},
	{"rename", {SYS_renameat, SYS_renameat2, MACHINE_RENAME, NO_CALL}},
	{"open", {SYS_openat, MACHINE_OPEN, NO_CALL}},
};

#define COUNT(a) (sizeof(a) / sizeof(a)[0])

/* has tells whether a list of names, separated by commas, has a name. */
static int has(const char *list, const char *name)
{
	size_t len = strlen(name);
	for (const char *p = list; p; p = strchr(p, ',')) {
		if (*p == ',')
			p++;
		if (strncmp(p, name, len) == 0 && (p[len] == ',' || p[len] == 0))
			return 1;
	}
	return 0;
}

static void trap_calls(const char *list)
{
	struct sock_filter code[64];
	unsigned short n = 0;
	uintptr_t after = (uintptr_t)faultlayer_syscall_after;
	struct sock_filter head[] = {
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, arch)),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, MACHINE_AUDIT_ARCH, 1, 0),
		BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer)),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)after, 0, 3),
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer) + 4),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)(after >> 32), 0, 1),
		BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr)),
	};
	memcpy(code, head, sizeof head);
	n = COUNT(head);
	code[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_rt_sigprocmask, 0, 1);
	code[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRAP);
	for (size_t i = 0; i < COUNT(groups); i++) {
		if (!has(list, groups[i].name))
			continue;
		for (const int *nr = groups[i].calls; *nr != NO_CALL; nr++) {
			code[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)*nr, 0, 1);
			code[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRAP);
		}
	}
	code[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	struct sigaction action = {.sa_sigaction = on_sigsys, .sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER};
	if (sigaction(SIGSYS, &action, NULL) != 0)
		fail("sigaction");
	struct sock_fprog program = {n, code};
	if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0)
		fail("no new privileges");
	if (syscall(SYS_seccomp, SECCOMP_SET_MODE_FILTER, 0, &program) != 0)
		fail("seccomp");
}

__attribute__((constructor)) static void load(void)
{
	const char *path = getenv("FAULT_LAYER_CONTROL");
	if (!path)
		return;
	int fd = open(path, O_RDWR | O_CLOEXEC);
	if (fd < 0)
		fail(path);
	control = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
	if (control == MAP_FAILED)
		fail("mmap");
	close(fd);
	if (control->magic != MAGIC) {
		errno = EINVAL;
		fail("the control file has another form");
	}
	patch_clocks();
	const char *calls = getenv("FAULT_LAYER_CALLS");
	if (calls && *calls)
		trap_calls(calls);
}
