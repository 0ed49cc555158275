/* Makes system calls of one process fail as Linux documents that they may.
 *
 * Loaded by LD_PRELOAD. RIG_FAULTS holds rules, separated by commas: CALL:ERRNO:FIRST:LAST, where the calls
 * numbered FIRST to LAST of CALL (from 1, counted in this process) fail with the number ERRNO and do nothing.
 * CALL is one of accept4, socket, connect; connect@PORT counts the calls to that IPv4 port alone. Calls that
 * no rule names go to the C library.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_RULES 32

struct rule {
    char call[24];
    int port; /* 0: any port */
    int error;
    long first, last;
    long count;
};

static struct rule rules[MAX_RULES];
static int rule_count;

__attribute__((constructor)) static void read_rules(void) {
    const char *text = getenv("RIG_FAULTS");
    char *copy, *rest, *word;
    if (text == NULL || (copy = strdup(text)) == NULL)
        return;
    for (word = strtok_r(copy, ",", &rest); word != NULL && rule_count < MAX_RULES;
         word = strtok_r(NULL, ",", &rest)) {
        struct rule *rule = &rules[rule_count];
        char *colon = strchr(word, ':');
        char *at;
        if (colon == NULL || (size_t)(colon - word) >= sizeof rule->call)
            continue;
        memcpy(rule->call, word, colon - word);
        rule->call[colon - word] = 0;
        if ((at = strchr(rule->call, '@')) != NULL) {
            rule->port = (int)strtol(at + 1, NULL, 10);
            *at = 0;
        }
        rule->error = (int)strtol(colon + 1, &colon, 10);
        rule->first = *colon == ':' ? strtol(colon + 1, &colon, 10) : 1;
        rule->last = *colon == ':' ? strtol(colon + 1, &colon, 10) : rule->first;
        rule_count++;
    }
    free(copy);
}

/* Counts a call (to PORT, or 0) against the rules. Returns 1 with errno set if the call must fail. */
static int fails(const char *call, int port) {
    int failing = 0;
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        long number;
        if (strcmp(rule->call, call) != 0 || (rule->port != 0 && rule->port != port))
            continue;
        number = __atomic_add_fetch(&rule->count, 1, __ATOMIC_RELAXED);
        if (!failing && rule->first <= number && number <= rule->last) {
            errno = rule->error;
            failing = 1;
        }
    }
    return failing;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return fails("accept4", 0) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    return fails("socket", 0) ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int port = address->sa_family == AF_INET ? ntohs(((const struct sockaddr_in *)address)->sin_port) : 0;
    return fails("connect", port) ? -1 : REAL(connect)(fd, address, length);
}
