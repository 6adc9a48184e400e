/*
 * What the library has to know of the machine that it is built for, x86-64 or arm64: its registers, its calls,
 * its vDSO and the code of a jump.
 */
#ifndef FAULTLAYER_MACHINE_H
#define FAULTLAYER_MACHINE_H

#include <linux/audit.h>
#include <stdint.h>
#include <string.h>
#include <sys/syscall.h>
#include <ucontext.h>

/* NO_CALL stands for a system call that this machine doesn't have, and ends a list of calls. */
#define NO_CALL (-1)

#if defined(__x86_64__)

#define MACHINE_AUDIT_ARCH AUDIT_ARCH_X86_64

#define VDSO_CLOCK_GETTIME "__vdso_clock_gettime"
#define VDSO_GETTIMEOFDAY "__vdso_gettimeofday"
#define VDSO_TIME "__vdso_time"

/* The calls of the C library that arm64 has only in their newer form. */
#define MACHINE_EPOLL_WAIT SYS_epoll_wait
#define MACHINE_RENAME SYS_rename
#define MACHINE_OPEN SYS_open

#define MACHINE_SYSCALL_BODY \
	"	movq %rdi, %rax\n" \
	"	movq %rsi, %rdi\n" \
	"	movq %rdx, %rsi\n" \
	"	movq %rcx, %rdx\n" \
	"	movq %r8, %r10\n" \
	"	movq %r9, %r8\n" \
	"	movq 8(%rsp), %r9\n" \
	"	syscall\n"

/* machine_jump has the code at an address go on at another one: movabs $to, %rax; jmp *%rax. */
static void machine_jump(char *from, void *to)
{
	memcpy(from, "\x48\xb8", 2);
	memcpy(from + 2, &to, sizeof to);
	memcpy(from + 10, "\xff\xe0", 2);
}

/* machine_arguments reads the arguments of a trapped system call. */
static void machine_arguments(const ucontext_t *u, long arg[6])
{
	const greg_t *g = u->uc_mcontext.gregs;
	arg[0] = g[REG_RDI];
	arg[1] = g[REG_RSI];
	arg[2] = g[REG_RDX];
	arg[3] = g[REG_R10];
	arg[4] = g[REG_R8];
	arg[5] = g[REG_R9];
}

/* machine_return has a trapped system call return a value. */
static void machine_return(ucontext_t *u, long value) { u->uc_mcontext.gregs[REG_RAX] = value; }

#elif defined(__aarch64__)

#define MACHINE_AUDIT_ARCH AUDIT_ARCH_AARCH64

#define VDSO_CLOCK_GETTIME "__kernel_clock_gettime"
#define VDSO_GETTIMEOFDAY "__kernel_gettimeofday"
#define VDSO_TIME "" /* none */

#define MACHINE_EPOLL_WAIT NO_CALL
#define MACHINE_RENAME NO_CALL
#define MACHINE_OPEN NO_CALL

#define MACHINE_SYSCALL_BODY \
	"	mov x8, x0\n" \
	"	mov x0, x1\n" \
	"	mov x1, x2\n" \
	"	mov x2, x3\n" \
	"	mov x3, x4\n" \
	"	mov x4, x5\n" \
	"	mov x5, x6\n" \
	"	svc #0\n"

/* machine_jump has the code at an address go on at another one: ldr x16, .+8; br x16; the address. */
static void machine_jump(char *from, void *to)
{
	static const uint32_t code[] = {0x58000050, 0xd61f0200};
	memcpy(from, code, sizeof code);
	memcpy(from + sizeof code, &to, sizeof to);
	__builtin___clear_cache(from, from + sizeof code + sizeof to);
}

/* machine_arguments reads the arguments of a trapped system call. */
static void machine_arguments(const ucontext_t *u, long arg[6])
{
	for (int i = 0; i < 6; i++)
		arg[i] = (long)u->uc_mcontext.regs[i];
}

/* machine_return has a trapped system call return a value. */
static void machine_return(ucontext_t *u, long value) { u->uc_mcontext.regs[0] = (unsigned long long)value; }

#else
#error "the fault layer knows x86-64 and arm64"
#endif

#endif
