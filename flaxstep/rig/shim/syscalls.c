/* Makes system calls of one process fail as Linux documents that they may.
 *
 * Loaded by LD_PRELOAD. RIG_FAULTS holds rules, separated by commas: CALL:ERRNO:FIRST:LAST, where the calls
 * numbered FIRST to LAST of CALL (from 1, counted in this process) fail with the number ERRNO and do nothing.
 * CALL is one of accept4, socket, connect. Calls that no rule names go to the C library.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MOST_RULES 32

struct rule {
    char call[16];
    int error;
    long first, last;
};

static struct rule rules[MOST_RULES];
static int rule_count;

__attribute__((constructor)) static void read_rules(void) {
    const char *text = getenv("RIG_FAULTS");
    char *copy, *rest, *word;
    if (text == NULL || (copy = strdup(text)) == NULL)
        return;
    for (word = strtok_r(copy, ",", &rest); word != NULL && rule_count < MOST_RULES;
         word = strtok_r(NULL, ",", &rest)) {
        struct rule *rule = &rules[rule_count];
        char *colon = strchr(word, ':');
        if (colon == NULL || (size_t)(colon - word) >= sizeof rule->call)
            continue;
        memcpy(rule->call, word, colon - word);
        rule->call[colon - word] = 0;
        rule->error = (int)strtol(colon + 1, &colon, 10);
        rule->first = *colon == ':' ? strtol(colon + 1, &colon, 10) : 1;
        rule->last = *colon == ':' ? strtol(colon + 1, &colon, 10) : rule->first;
        rule_count++;
    }
    free(copy);
}

/* Whether this call fails: errno is set then. */
static int fails(const char *call, long *count) {
    long number = __atomic_add_fetch(count, 1, __ATOMIC_RELAXED);
    for (int i = 0; i < rule_count; i++)
        if (strcmp(rules[i].call, call) == 0 && rules[i].first <= number && number <= rules[i].last) {
            errno = rules[i].error;
            return 1;
        }
    return 0;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static long count;
    return fails("accept4", &count) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static long count;
    return fails("socket", &count) ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static long count;
    return fails("connect", &count) ? -1 : REAL(connect)(fd, address, length);
}
