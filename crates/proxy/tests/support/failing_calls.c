/* Preloaded into the proxy to make system calls fail. A test writes the failing calls to the file named by
 * FAILING_CALLS, one line "CALL ERRNO" each. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Returns the errno that a call must fail with, or 0 if it must not fail. */
static int errno_for(const char *call) {
    const char *path = getenv("FAILING_CALLS");
    FILE *file = path ? fopen(path, "r") : NULL;
    char name[32];
    int error = 0;
    int found = 0;
    if (file == NULL) {
        return 0;
    }
    while (!found && fscanf(file, "%31s %d", name, &error) == 2) {
        found = strcmp(name, call) == 0;
    }
    fclose(file);
    return found ? error : 0;
}

/* Returns whether a path is that of the configuration file. */
static int is_configuration(const char *path) {
    const char *configuration = getenv("RELAY_CONFIG");
    return configuration != NULL && strcmp(path, configuration) == 0;
}

/* Replaces open64: fails for the configuration file if the test says so. */
int open64(const char *path, int flags, ...) {
    static int (*next)(const char *, int, ...);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    int error = is_configuration(path) ? errno_for("open") : 0;
    if (error != 0) {
        errno = error;
        return -1;
    }
    if (next == NULL) {
        next = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64");
    }
    return next(path, flags, mode);
}

/* Replaces bind: fails if the test says so. */
int bind(int socket, const struct sockaddr *address, socklen_t length) {
    static int (*next)(int, const struct sockaddr *, socklen_t);
    int error = errno_for("bind");
    if (error != 0) {
        errno = error;
        return -1;
    }
    if (next == NULL) {
        next = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(RTLD_NEXT, "bind");
    }
    return next(socket, address, length);
}
