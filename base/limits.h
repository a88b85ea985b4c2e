#ifndef BASE_LIMITS_H
#define BASE_LIMITS_H

/* Every limit of the program, with its unit in the name. */

#define USEC_PER_SEC 1000000LL
#define USEC_PER_MSEC 1000LL

/* Names. */

#define NAME_MAX_BYTES 64 /* host, data centre, customer, service, section */
#define ADDR_MAX_BYTES 48 /* an IPv6 address in text */

/* Kernel. */

#define KN_CLOSE_ROUNDS 10 /* for handles that close late */
#define KN_IDLE_ROUNDS 2 /* without a byte: all that has arrived is read */
/* For reading what has arrived; below the time that callers' answers and the
 * end of a stop have in reserve. */
#define KN_LATE_READ_MS 50 /* before timers that are overdue */
#define KN_LAST_READ_MS 150 /* when the process ends */
#define KN_LATE_MS 20 /* a timer that is later: sockets are read first */
#define KN_DRAIN_ROUNDS 64 /* mailbox rounds before sockets are served */
#define EV_RING_EVENTS 4096 /* events kept for the API */
#define EV_LINE_MAX_BYTES 1024

/* Log. */

/* Of one event; a takeover with thousands of tasks says the rest in sum. */
#define LOG_LINES_PER_SEC 300
#define LOG_BUFFER_MAX_BYTES (128 * 1024) /* some seconds of a slow reader */

/* HTTP. */

#define HTTP_HEADERS_MAX_BYTES 16384
#define HTTP_BODY_MAX_BYTES (1024 * 1024)
#define HTTP_HEADER_TIMEOUT_MS 10000
#define HTTP_BODY_TIMEOUT_MS 30000
#define HTTP_IDLE_TIMEOUT_MS 60000
#define HTTP_TARGET_MAX_BYTES 2048
#define HTTP_CONNECT_TIMEOUT_MS 2000
#define HTTP_HEADERS_MAX_COUNT 100
#define HTTP_CONNS_MAX 12000 /* REQ_WAITING_MAX callers and room for others */
#define HTTP_REFUSED_MAX 64 /* beyond it, that read their refusal at leisure */
#define HTTP_BODIES_MAX_BYTES (32 * 1024 * 1024) /* over all connections */
#define HTTP_PIPELINE_MAX_BYTES 16384 /* behind a request in progress */
#define HTTP_BACKLOG 1024 /* connections not accepted yet */
#define HTTP_SWEEP_MS 1000 /* resolution of the server's timeouts */
#define HTTP_LINGER_MS 2000
#define HTTP_LINGER_MAX_BYTES (4 * 1024 * 1024)
#define HTTP_KEEPALIVE_PROBE_SEC 15 /* finds callers whose host is gone */
#define HTTP_KEEPALIVE_PROBES 3
/* Below HTTP_IDLE_TIMEOUT_MS, so the server seldom closes first. */
#define HTTP_CLIENT_IDLE_MS 30000

/* Requests. */

#define REQ_WAITING_MAX 10000 /* waiting requests per entry host */
#define REQ_DEADLINE_MAX_MS 60000
#define REQ_ATTEMPTS_MAX 3
#define FORWARD_GRACE_MS 1000 /* for the answer of a peer, after the deadline */
#define REQ_TICK_MS 25 /* a quarter of QUEUE_SHORT_LIMIT_MS */
#define REQ_IDLE_TICK_MS 500 /* while nothing is waiting or in progress */
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
#define LEAVING_HOLD_MS 60000 /* "live" in the lagging list is not believed */
#define RETRY_WINDOW_MS 5000 /* half-life of "recent" for the retry budget */
#define ROUTE_SAMPLE 8 /* servers that a choice looks at */
#define ROUTE_HOT_PERCENT 75 /* quantile of requests in flight */
#define ROUTE_AGE_MS 1000 /* latency without a new sample halves */
#define EJECT_FAILURES 5 /* consecutive */
#define EJECT_BASE_MS 1000 /* doubles up to 32 s */
#define EJECT_SAMPLES 64 /* answers before latency is judged */
#define EJECT_JUDGE_EVERY 16 /* answers between comparisons of latency */
#define EJECT_LATENCY_FACTOR 10 /* times the median; stragglers give 3.5 */
#define MEMBERS_SAMPLE 512 /* servers in a median */
#define MEMBERS_POLL_MS 1000 /* leaves 2 s of LEAVING_GRACE_MS */
#define MEMBERS_SHARE_MS 30000 /* the whole list again, should one be lost */
#define QUEUE_TARGET_SHORT_MS 20 /* CoDel target of the waiting time */
#define QUEUE_TARGET_LONG_MS 200
#define QUEUE_SHED_FACTOR 3 /* longest wait over target while shedding */
#define QUEUE_INTERVAL_MS 100
#define QUEUE_EXPIRE_MS 100 /* between looks for expired requests */
#define QUEUE_SHORT_LIMIT_MS 100 /* run time of short work, by default */
#define QUEUE_SHARE_LAG_MS 50 /* of its share that a customer may lag */
#define QUEUE_RESERVE_MIN_PERCENT 10 /* slots kept for short work */
#define QUEUE_RESERVE_MAX_PERCENT 75
#define SLOT_REPORT_MS 500 /* between reports of a host that has demand */
#define SLOT_PRESS_MS 20 /* between reports while requests wait for credits */
#define KEY_ENTRIES_MAX 50000 /* keys that a host remembers */
#define KEY_BYTES_MAX (16 * 1024 * 1024) /* finished answers kept */
#define KEY_TICKETS_MAX 1000 /* tickets per call */
#define KEY_LEASE_MARGIN_SEC 300 /* a request and store delays, with room */
#define KEY_BATCHES_MAX 4 /* claim transactions in progress */
#define KEY_HANDOVER_BYTES (4 * 1024 * 1024) /* half of what a link queues */

/* Peers. */

#define FRAME_MAX_BYTES (4 * 1024 * 1024)
#define PEER_HEARTBEAT_MS 500
#define PEER_HEARTBEAT_REMOTE_MS 2000
#define PEER_SILENT_MS 2000
#define PEER_SILENT_REMOTE_MS 6000
#define PEER_RECONNECT_MIN_MS 100
#define PEER_RECONNECT_MAX_MS 5000
#define PEERS_MAX 128
#define PEER_PENDING_MAX 32 /* accepted links that have not said hello */
#define PEER_HELLO_MAX_BYTES 1024
#define PEER_QUEUE_MAX_BYTES (2 * FRAME_MAX_BYTES) /* unsent, for each link */
#define PEER_CLOCK_EVENT_MS 30000
#define PEER_FLUSH_MS 200 /* for unsent frames when the process ends */
#define FRAME_DEPTH_MAX 16 /* msgpack-c recurses up to 32 */
#define FRAME_ELEMENTS_MAX (256 * 1024) /* 24 bytes each when unpacked */

/* Leadership and store. */

#define LEADER_LEASE_MS 6000
#define LEADER_RENEW_MS 2000
#define LEADER_PROMISE_MS 3000
#define LEADER_ASK_MS 1000 /* between two asks for promises */
#define LEADER_POLL_MS 1000 /* between looks at a key that others hold */
#define LEADER_FREEZE_MS 1000 /* a longer gap between ticks is a freeze */
#define LEADER_TICK_MS 250
#define LEADER_MARGIN_PERCENT 2 /* for clocks that run at different rates */
#define LEADER_DRAIN_MS 2500 /* for giving the lease back at a stop */
#define STORE_TIMEOUT_MS 2000
#define EXCHANGE_CONNECT_TIMEOUT_MS 400 /* a lost first packet costs 1 s */
/* The longest time of an order. Bytes of a paused host are not sent after it. */
#define EXCHANGE_ACK_TIMEOUT_MS 1500
#define STORE_BACKOFF_BASE_MS 100
#define STORE_BACKOFF_CAP_MS 5000
#define STORE_VALUE_MAX_BYTES (1024 * 1024)
#define STORE_REPLY_MAX_BYTES (16 * 1024 * 1024)
#define STORE_CONNECTIONS 16 /* of one process, besides its watches */
/*
 * A change on a watch stream that is open but silent is noticed after at most
 * the probe period and the grace, which together stay under the 3 s in which
 * a document change must be in force.
 */
#define STORE_PROBE_MS 2000
#define STORE_PROBE_GRACE_MS 500

/* Jobs. */

#define WORKERS_PER_RACK 8
#define GANG_MAX_ACCELERATORS 512
#define RESERVATION_TERM_MS 10000
#define BARRIER_TERM_MS 10000
#define TASK_LEASE_MS 30000
#define WORKER_SYNC_MS 5000
#define WORKER_CONNECTIONS 2
#define WORKER_TASKS_MAX 256 /* in one report */
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
#define JOB_RETRY_MIN_MS 5000 /* doubles with each failure */
#define JOB_RETRY_MAX_MS 1800000
#define WORKER_BAD_JOBS 3 /* failures of that many jobs: quarantine */
#define WORKER_QUARANTINE_PERCENT 25 /* of the workers at most */
#define WORKER_PROBATION_MIN_MS 60000
#define WORKER_PROBATION_MAX_MS 3600000
#define PLACING_MOVE_COST_MS 30000 /* of a checkpoint and a new start */
#define PLACING_SAVES_PER_FAILURE 8
#define SCHEDULER_LEVELS 4 /* of attained service */
#define SCHEDULER_LEVEL_1_SEC 600 /* of run time; each level is longer by */
#define SCHEDULER_LEVEL_FACTOR 4
#define SCHEDULER_GRACE_MS 60000 /* of a checkpoint that no claim waits for */
#define SCHEDULER_QUANTUM_MS \
	300000 /* run time before work yields to its peers */
#define SCHEDULER_AGE_MS \
	3600000 /* waiting that long counts like one fair share */
#define SCHEDULER_PATIENCE_MS \
	600000 /* then a reservation displaces its racks */
#define SCHEDULER_STARTS_PER_PASS 128
#define SCHEDULER_EVICTION_TRIES 8 /* per pass; each looks at all workers */
#define JOB_WRITES 3 /* store writes for a job that isn't cancelled */
#define GANG_CALL_MS 1000 /* until a call to a worker counts as lost */
#define GANG_RETRY_MS 200
/*
 * Without any answer of a worker that a claim waits for, after the first call
 * that was lost. With two calls it leaves RECLAIM_GRACE_MS for other work to
 * yield within RECLAIM_BOUND_MS.
 */
#define GANG_CLAIM_LOST_MS 1000
#define GANG_PHASE_MS 4000 /* for all answers; half of the shortest term */
#define GANG_FRESH_MS 6000 /* a sync period, its jitter and an answer */
/* So that a gang ends within TASK_LEASE_MS of the death of a member. */
#define GANG_LEASE_MS (TASK_LEASE_MS - GANG_FRESH_MS - GANG_CALL_MS)
#define GANG_SYNC_MS 100 /* between syncs of a worker with pending work */
#define SCHED_TICK_MS 20 /* while a gang starts or stops */
#define SCHED_IDLE_TICK_MS 100
#define SCHED_EVENT_TICK_MS 2 /* after an event, for all of a burst */
#define SCHED_PASS_MS 100 /* between two passes */
/*
 * For the first answer of every worker. With a sync period, TAKEOVER_BOUND_MS
 * and a call it stays below GANG_LEASE_MS, so that whole gangs live on.
 */
#define SCHED_RECOVER_MS 3000
#define SCHED_JITTER_PERCENT 10 /* of the period of a worker's sync */
#define SCHED_WRITES_MAX 16 /* record writes in progress */
#define SCHED_SETTLE_MS 8000 /* below API_FORWARD_TIMEOUT_MS */
#define SCHED_DRAIN_MS 2000 /* for pending record writes at a stop */
#define JOB_KEEP_MS 3600000 /* an ended job */
#define JOBS_ENDED_MAX 2000 /* kept in memory */
#define JOBS_LIST_MAX 1000 /* in one answer; a peer message holds 4 MB */

/* Document. */

#define DOC_SECTION_NAME_MAX_BYTES 80 /* the longest type, '/', a name */
#define DOC_WEIGHT_MAX 1000
#define DOC_GUARANTEES_MAX 64
#define DOC_PREFIXES_MAX 64
#define DOC_POOL_WORKERS_MAX 20000
#define DOC_WORKER_ACCELERATORS_MAX 64
#define DOC_RACK_MAX 1000000
#define DOC_COUNT_MAX 1000000 /* units of a guarantee or a quota */
#define DOC_SHORT_LIMIT_DEFAULT_MS 100
#define DOC_HISTORY_MAX 100 /* history entries in one answer */
#define DOC_DIFF_MAX 60 /* revisions between both sides of a difference */
#define DOC_RETRIES_MAX 8 /* merges with racing changes before a conflict */
#define DOC_HISTORY_KEEP 20000 /* revisions, about a day in two years */
#define DOC_PRUNE_BATCH 32 /* old revisions removed at a time */
#define DOC_CHANGE_TIMEOUT_MS 10000 /* until an outcome is called unknown */
#define DOC_PULL_TIMEOUT_MS 1000 /* until another peer is asked */
/* Bodies in one read of the store; 8 of the largest take 11 MB in base64. */
#define DOC_READ_BATCH 8
#define DOC_PUSH_BYTES (1024 * 1024) /* of sections in one peer message */

/* Administration API. */

#define API_EVENTS_MAX 1000 /* events in one answer */
#define API_FORWARD_TIMEOUT_MS 10000 /* until the leader's answer is given up */

#endif
