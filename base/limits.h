#ifndef BASE_LIMITS_H
#define BASE_LIMITS_H

/* Every limit of the program, with its unit in the name. */

#define USEC_PER_SEC 1000000LL
#define USEC_PER_MSEC 1000LL

/* ---- names ---- */

#define NAME_MAX_BYTES 64 /* host, data centre, customer, service, section */
#define ADDR_MAX_BYTES 48 /* an IPv6 address in text */

/* ---- kernel ---- */

#define KN_DRAIN_ROUNDS 64 /* mailbox rounds before sockets are served */
#define EV_RING_EVENTS 4096 /* events kept for the API */
#define EV_LINE_MAX_BYTES 1024

/* ---- HTTP ---- */

#define HTTP_HEADERS_MAX_BYTES 16384
#define HTTP_BODY_MAX_BYTES (1024 * 1024)
#define HTTP_HEADER_TIMEOUT_MS 10000
#define HTTP_BODY_TIMEOUT_MS 30000
#define HTTP_IDLE_TIMEOUT_MS 60000
#define HTTP_TARGET_MAX_BYTES 2048
#define HTTP_CONNECT_TIMEOUT_MS 2000

/* ---- requests ---- */

#define REQ_WAITING_MAX 10000 /* waiting requests per entry host */
#define REQ_DEADLINE_MAX_MS 60000
#define REQ_DEADLINE_DEFAULT_MS 10000
#define BACKEND_SLOTS 8 /* requests in progress, over all entry hosts */
#define BACKEND_CONNECTIONS 64 /* connections, over all entry hosts */
#define SLOT_FLOOR_HOSTS 4 /* hosts that own a floor slot of a server */
#define SLOT_TERM_MS 2000
#define RETRY_BUDGET_PERCENT 10
#define RETRY_BUDGET_MIN_PER_SEC 10
#define KEY_MAX_BYTES 128
#define KEY_KEEP_SEC 3600
#define KEY_BATCH_MAX 64
#define KEY_BATCH_DELAY_MS 10
#define LEAVING_GRACE_MS 3000

/* ---- peers ---- */

#define FRAME_MAX_BYTES (4 * 1024 * 1024)
#define PEER_HEARTBEAT_MS 500
#define PEER_HEARTBEAT_REMOTE_MS 2000
#define PEER_SILENT_MS 2000
#define PEER_SILENT_REMOTE_MS 6000
#define PEER_RECONNECT_MIN_MS 100
#define PEER_RECONNECT_MAX_MS 5000
#define PEERS_MAX 128

/* ---- leadership and store ---- */

#define LEADER_LEASE_MS 6000
#define LEADER_RENEW_MS 2000
#define LEADER_PROMISE_MS 3000
#define STORE_TIMEOUT_MS 2000
#define STORE_BACKOFF_BASE_MS 100
#define STORE_BACKOFF_CAP_MS 5000
#define STORE_VALUE_MAX_BYTES (1024 * 1024)

/* ---- jobs ---- */

#define WORKERS_PER_RACK 8
#define GANG_MAX_ACCELERATORS 512
#define RESERVATION_TERM_MS 10000
#define BARRIER_TERM_MS 10000
#define TASK_LEASE_MS 30000
#define WORKER_SYNC_MS 5000
#define USAGE_LAG_MAX_MS 10000
#define RECLAIM_BOUND_MS 9400
#define TAKEOVER_BOUND_MS 10000
#define WORKER_ACCELERATORS_MAX 16
#define RACKS_PER_ROW 16 /* a row holds the largest gang with room to spare */
#define RACKS_MAX 65536
#define RECLAIM_GRACE_MS 6000 /* leaves 3.4 s for stop, start and losses */
#define JOB_TASK_MAX_BYTES 16384 /* opaque description of a job's task */
#define JOB_HOPELESS_WORKERS 3 /* failures on that many workers end a job */
#define JOB_FAILURES_MAX 10 /* in all, also on workers found to be bad */
#define WORKER_BAD_JOBS 3 /* failures of that many jobs: quarantine */
#define WORKER_QUARANTINE_PERCENT 25 /* of the workers at most */
#define WORKER_PROBATION_MIN_MS 60000
#define WORKER_PROBATION_MAX_MS 3600000
#define PL_MOVE_COST_MS 30000 /* of a checkpoint and a new start */
#define PL_SAVES_PER_FAILURE 8
#define SC_LEVELS 4 /* of attained service */
#define SC_LEVEL_1_ACCEL_SEC 3600
#define SC_LEVEL_FACTOR 5
#define SC_GRACE_MS 60000 /* of a checkpoint that no claim waits for */
#define SC_QUANTUM_MS 300000 /* run time before work yields to its peers */
#define SC_AGE_MS 3600000 /* waiting that long counts like one fair share */
#define SC_PATIENCE_MS 600000 /* then a reservation displaces its racks */
#define SC_STARTS_PER_PASS 512
#define SC_EVICTION_TRIES 8 /* per pass; each looks at all workers */
#define JOB_WRITES 3 /* store writes for a job that isn't cancelled */

#endif
