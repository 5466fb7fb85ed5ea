/* Makes system calls of the process that preloads it fail with errors that Linux documents for them. Built by
   `test_cluster::syscall_faults`; Linux on x86-64 or arm64 only.

   FAULT_CALLS  "recvfrom=EINTR/7 epoll_ctl=ENOMEM/9": every 7th recvfrom fails with EINTR, and so on
   FAULT_WHILE  calls fail only while this file exists; always if it is unset
   FAULT_UNDER  calls on files fail only for files whose path contains this
   FAULT_WALL   file that holds the seconds to add to CLOCK_REALTIME; it may be rewritten while the process runs

   A seccomp filter that the process installs for itself turns the listed calls into SIGSYS. The signal handler either fails
   the call or repeats it with a marker in the sixth argument, which none of these calls uses and which the filter lets
   pass. */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

#define PASS_MARKER 0x0fa17ab1L
#define ARGUMENTS 5
#define MAX_FAULTS 8

/* All that depends on the machine: the number and the arguments of a trapped call, its result, and its repetition with the
   marker in the sixth argument. */
#if defined __x86_64__ && defined __LP64__

static long trapped_call(const ucontext_t *context) { return context->uc_mcontext.gregs[REG_RAX]; }

static void trapped_arguments(const ucontext_t *context, long *a) {
  const greg_t *r = context->uc_mcontext.gregs;
  a[0] = r[REG_RDI], a[1] = r[REG_RSI], a[2] = r[REG_RDX], a[3] = r[REG_R10], a[4] = r[REG_R8];
}

static void set_result(ucontext_t *context, long result) { context->uc_mcontext.gregs[REG_RAX] = result; }

static long repeat_call(long call, const long *a) {
  long result;
  register long r10 __asm__("r10") = a[3];
  register long r8 __asm__("r8") = a[4];
  register long r9 __asm__("r9") = PASS_MARKER;
  __asm__ volatile("syscall" : "=a"(result)
                   : "a"(call), "D"(a[0]), "S"(a[1]), "d"(a[2]), "r"(r10), "r"(r8), "r"(r9)
                   : "rcx", "r11", "memory");
  return result;
}

#elif defined __aarch64__ && defined __LP64__ && defined __AARCH64EL__

static long trapped_call(const ucontext_t *context) { return context->uc_mcontext.regs[8]; }

static void trapped_arguments(const ucontext_t *context, long *a) {
  for (int i = 0; i < ARGUMENTS; i++) a[i] = context->uc_mcontext.regs[i];
}

static void set_result(ucontext_t *context, long result) { context->uc_mcontext.regs[0] = result; }

static long repeat_call(long call, const long *a) {
  register long x8 __asm__("x8") = call;
  register long x0 __asm__("x0") = a[0];
  register long x1 __asm__("x1") = a[1];
  register long x2 __asm__("x2") = a[2];
  register long x3 __asm__("x3") = a[3];
  register long x4 __asm__("x4") = a[4];
  register long x5 __asm__("x5") = PASS_MARKER;
  __asm__ volatile("svc #0" : "+r"(x0) : "r"(x8), "r"(x1), "r"(x2), "r"(x3), "r"(x4), "r"(x5) : "memory");
  return x0;
}

#else
#error "faults.c knows how to fail and repeat system calls on x86-64 and arm64 Linux only"
#endif

struct fault {
  long call;
  long error;
  int every;
  int takes_file;
  int only_epoll_add;
  int call_count;
};

static const struct { const char *name; long call; int takes_file; } CALLS[] = {
    {"recvfrom", SYS_recvfrom, 0}, {"sendto", SYS_sendto, 0},       {"accept4", SYS_accept4, 0},
    {"socket", SYS_socket, 0},     {"connect", SYS_connect, 0},     {"epoll_ctl", SYS_epoll_ctl, 0},
    {"epoll_add", SYS_epoll_ctl, 0}, {"read", SYS_read, 0},
    {"openat", SYS_openat, 1},     {"write", SYS_write, 1},         {"fsync", SYS_fsync, 1},
    {"pwrite64", SYS_pwrite64, 1}, {"fdatasync", SYS_fdatasync, 1},
};
static const struct { const char *name; long error; } ERRORS[] = {
    {"EINTR", EINTR},   {"ENOMEM", ENOMEM}, {"ENOSPC", ENOSPC}, {"EIO", EIO},
    {"ENFILE", ENFILE}, {"EMFILE", EMFILE}, {"ENOBUFS", ENOBUFS}, {"ECONNABORTED", ECONNABORTED},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},
};

static struct fault faults[MAX_FAULTS];
static int fault_count;
static const char *enable_file, *path_filter;

static int is_on_matching_file(const struct fault *fault, const long *a) {
  if (!path_filter) return 1;
  if (fault->call == SYS_openat) return (a[2] & (O_WRONLY | O_RDWR | O_CREAT)) && strstr((const char *)a[1], path_filter);
  char link[64], path[4096];
  snprintf(link, sizeof link, "/proc/self/fd/%ld", a[0]);
  ssize_t length = readlink(link, path, sizeof path - 1);
  path[length < 0 ? 0 : length] = 0;
  return strstr(path, path_filter) != NULL;
}

static void handle_sigsys(int signal, siginfo_t *info, void *context) {
  (void)signal;
  (void)info;
  long a[ARGUMENTS];
  trapped_arguments(context, a);
  const long call = trapped_call(context);
  int saved = errno;
  for (int i = 0; i < fault_count; i++) {
    struct fault *fault = &faults[i];
    if (fault->only_epoll_add && a[1] != EPOLL_CTL_ADD) continue;
    if (fault->call != call || (fault->takes_file && !is_on_matching_file(fault, a))) continue;
    if (enable_file && access(enable_file, F_OK) != 0) continue;
    if (__atomic_add_fetch(&fault->call_count, 1, __ATOMIC_RELAXED) % fault->every == 0) {
      set_result(context, -fault->error);
      errno = saved;
      return;
    }
  }
  set_result(context, repeat_call(call, a));
  errno = saved;
}

static void add_fault(const char *name, const char *error, int every) {
  struct fault fault = {-1, -1, every, 0, strcmp(name, "epoll_add") == 0, 0};
  for (size_t i = 0; i < sizeof CALLS / sizeof *CALLS; i++)
    if (strcmp(CALLS[i].name, name) == 0) fault.call = CALLS[i].call, fault.takes_file = CALLS[i].takes_file;
  for (size_t i = 0; i < sizeof ERRORS / sizeof *ERRORS; i++)
    if (strcmp(ERRORS[i].name, error) == 0) fault.error = ERRORS[i].error;
  if (fault.call < 0 || fault.error < 0 || every < 1 || fault_count == MAX_FAULTS) {
    fprintf(stderr, "FAULT_CALLS: invalid entry %s=%s/%d\n", name, error, every);
    _exit(97);
  }
  faults[fault_count++] = fault;
}

static void install_filter(void) {
  struct sock_filter code[4 + 4 * MAX_FAULTS];
  int n = 0;
  code[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr));
  for (int i = 0; i < fault_count; i++) {
    code[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, faults[i].call, 0, 3);
    code[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, args[5]));
    code[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, PASS_MARKER, 1, 0);
    code[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRAP);
  }
  code[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
  struct sock_fprog program = {n, code};
  struct sigaction action = {.sa_sigaction = handle_sigsys, .sa_flags = SA_SIGINFO | SA_NODEFER | SA_RESTART};
  if (sigaction(SIGSYS, &action, NULL) || prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) ||
      prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program)) {
    perror("FAULT_CALLS");
    _exit(97);
  }
}

__attribute__((constructor)) static void load_faults(void) {
  enable_file = getenv("FAULT_WHILE");
  path_filter = getenv("FAULT_UNDER");
  char *calls = getenv("FAULT_CALLS");
  if (!calls || !*calls) return;
  char copy[512], name[32], error[32];
  snprintf(copy, sizeof copy, "%s", calls);
  for (char *remaining = copy, *entry; (entry = strsep(&remaining, " "));) {
    int every = 0;
    sscanf(entry, "%31[^=]=%31[^/]/%d", name, error, &every);
    add_fault(name, error, every);
  }
  install_filter();
}

int clock_gettime(clockid_t clock, struct timespec *time) {
  long result = syscall(SYS_clock_gettime, clock, time);
  const char *name = getenv("FAULT_WALL");
  if (result != 0 || clock != CLOCK_REALTIME || !name) return result;
  FILE *file = fopen(name, "r");
  long offset = 0;
  if (file && fscanf(file, "%ld", &offset) == 1) time->tv_sec += offset;
  if (file) fclose(file);
  return 0;
}
