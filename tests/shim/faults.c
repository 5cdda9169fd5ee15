/* LD_PRELOAD library that makes system calls fail with errors documented for Linux, or steps the wall clock.
 *
 * FAULTS       comma-separated kinds: accept, connect, socket, wait, interrupt, short, clock, disk, sync, stall
 * FAULT_RATE   one call in this many fails (default 100)
 * FAULT_SEED   seed that selects the failing calls (default 1)
 * FAULT_AFTER  milliseconds from process start until calls begin to fail (default 0)
 *
 * With stall, writes to sockets succeed and return STALL_MS later, as when the process is stopped (SIGSTOP) in the call.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum kind { ACCEPT = 1, CONNECT = 2, SOCKET = 4, WAIT = 8, INTERRUPT = 16, SHORT = 32, CLOCK = 64, DISK = 128, SYNC = 256, STALL = 512 };

#define MIN_SHORT_LENGTH 1
#define SHORT_LENGTH_RANGE 7
#define CLOCK_STEP_S 3600
#define STALL_MS 200

static const struct { const char *name; int kind; } KINDS[] = {
    {"accept", ACCEPT}, {"connect", CONNECT}, {"socket", SOCKET}, {"wait", WAIT},
    {"interrupt", INTERRUPT}, {"short", SHORT}, {"clock", CLOCK}, {"disk", DISK | SYNC}, {"sync", SYNC}, {"stall", STALL},
};

static int kinds;
static unsigned long rate = 100;
static long after_ms;
static atomic_ulong draw_count;
static unsigned long seed = 1;
static struct timespec start_time;

static int (*real_clock_gettime)(clockid_t, struct timespec *);

__attribute__((constructor)) static void read_settings(void) {
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_clock_gettime(CLOCK_MONOTONIC, &start_time);
    const char *text = getenv("FAULTS");
    for (size_t i = 0; text && i < sizeof KINDS / sizeof *KINDS; i++)
        if (strstr(text, KINDS[i].name)) kinds |= KINDS[i].kind;
    if ((text = getenv("FAULT_RATE"))) rate = strtoul(text, NULL, 10);
    if ((text = getenv("FAULT_SEED"))) seed = strtoul(text, NULL, 10);
    if ((text = getenv("FAULT_AFTER"))) after_ms = strtol(text, NULL, 10);
    if (rate == 0) rate = 1;
}

static int delay_elapsed(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - start_time.tv_sec) * 1000 + (now.tv_nsec - start_time.tv_nsec) / 1000000 >= after_ms;
}

/* Returns the next pseudo-random number (splitmix64). */
static unsigned long draw(void) {
    unsigned long x = seed * 0x9E3779B97F4A7C15UL + atomic_fetch_add(&draw_count, 1) * 0xBF58476D1CE4E5B9UL;
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9UL;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBUL;
    return x ^ (x >> 31);
}

static int should_fail(int kind) { return (kinds & kind) && draw() % rate == 0 && delay_elapsed(); }

static int fail(const int *errors, size_t n) {
    errno = errors[draw() % n];
    return -1;
}

#define FAIL(...) fail((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))
#define REAL(name) ((typeof(&name))dlsym(RTLD_NEXT, #name))

static size_t short_length(size_t n) {
    size_t most = MIN_SHORT_LENGTH + draw() % SHORT_LENGTH_RANGE;
    return n < most ? n : most;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (should_fail(ACCEPT)) return FAIL(ECONNABORTED, EMFILE, ENFILE, ENOBUFS, EINTR);
    return REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (should_fail(CONNECT)) return FAIL(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, EINTR, ETIMEDOUT);
    return REAL(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    if (should_fail(SOCKET)) return FAIL(EMFILE, ENFILE, ENOBUFS);
    return REAL(socket)(domain, type, protocol);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (should_fail(WAIT)) return FAIL(EINTR);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

int poll(struct pollfd *fds, nfds_t n, int timeout) {
    if (should_fail(WAIT)) return FAIL(EINTR);
    return REAL(poll)(fds, n, timeout);
}

ssize_t recv(int fd, void *to, size_t n, int flags) {
    if (should_fail(INTERRUPT)) return FAIL(EINTR);
    if (n > 0 && should_fail(SHORT)) n = short_length(n);
    return REAL(recv)(fd, to, n, flags);
}

static ssize_t stall_after(ssize_t result) {
    const struct timespec stall = {.tv_nsec = STALL_MS * 1000000L};
    if (should_fail(STALL)) nanosleep(&stall, NULL);
    return result;
}

ssize_t send(int fd, const void *from, size_t n, int flags) {
    if (should_fail(INTERRUPT)) return FAIL(EINTR);
    if (n > 0 && should_fail(SHORT)) n = short_length(n);
    return stall_after(REAL(send)(fd, from, n, flags));
}

static int is_socket(int fd) {
    struct stat of;
    return fstat(fd, &of) == 0 && S_ISSOCK(of.st_mode);
}

static int is_file(int fd) {
    struct stat of;
    return fstat(fd, &of) == 0 && S_ISREG(of.st_mode);
}

ssize_t writev(int fd, const struct iovec *from, int n) {
    if (n > 0 && is_socket(fd)) {
        if (should_fail(INTERRUPT)) return FAIL(EINTR);
        if (should_fail(SHORT)) {
            struct iovec first = from[0];
            for (int i = 1; first.iov_len == 0 && i < n; i++) first = from[i];
            first.iov_len = short_length(first.iov_len);
            return REAL(writev)(fd, &first, 1);
        }
        return stall_after(REAL(writev)(fd, from, n));
    }
    return REAL(writev)(fd, from, n);
}

ssize_t write(int fd, const void *from, size_t n) {
    if (n > 0 && (kinds & DISK) && is_file(fd) && should_fail(DISK)) {
        /* Partial write, as when the disk fills up midway. */
        if (draw() % 2 && n > 1) return REAL(write)(fd, from, short_length(n));
        return FAIL(ENOSPC, EIO);
    }
    return REAL(write)(fd, from, n);
}

int fsync(int fd) {
    if (should_fail(SYNC)) return FAIL(EIO, ENOSPC);
    return REAL(fsync)(fd);
}

int fdatasync(int fd) {
    if (should_fail(SYNC)) return FAIL(EIO, ENOSPC);
    return REAL(fdatasync)(fd);
}

int clock_gettime(clockid_t which, struct timespec *time) {
    int result = real_clock_gettime ? real_clock_gettime(which, time) : REAL(clock_gettime)(which, time);
    if (result == 0 && which == CLOCK_REALTIME && (kinds & CLOCK) && delay_elapsed())
        time->tv_sec += seed % 2 ? CLOCK_STEP_S : -CLOCK_STEP_S;
    return result;
}
