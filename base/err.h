#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <glib.h>

/*
 * Numbered result codes: name, number, HTTP status, text.
 * 1xx bad request, 2xx not run, 3xx outcome unknown, 4xx document, 5xx jobs,
 * 6xx process. The numbers are part of the API and are never reused.
 */
#define CB_RESULTS(X)                                                          \
	X(CB_OK, 0, 200, "ok")                                                 \
	X(CB_E_BAD_REQUEST, 100, 400, "malformed request")                     \
	X(CB_E_BAD_FRAMING, 101, 400, "conflicting message length")            \
	X(CB_E_HEADERS_TOO_LARGE, 102, 431, "headers too large")               \
	X(CB_E_BODY_TOO_LARGE, 103, 413, "body too large")                     \
	X(CB_E_LENGTH_REQUIRED, 104, 411, "Content-Length required")           \
	X(CB_E_TRANSFER_ENCODING, 105, 501, "Transfer-Encoding not supported") \
	X(CB_E_EXPECT, 106, 417, "Expect not supported")                       \
	X(CB_E_SLOW_SENDER, 107, 408, "request not received in time")          \
	X(CB_E_UNKNOWN_PATH, 108, 404, "no such path")                         \
	X(CB_E_METHOD, 109, 405, "method not allowed")                         \
	X(CB_E_UNKNOWN_CUSTOMER, 110, 404, "unknown customer")                 \
	X(CB_E_UNKNOWN_SERVICE, 111, 404, "unknown service")                   \
	X(CB_E_KEY_REUSED, 112, 422,                                           \
	  "idempotency key reused for another request")                        \
	X(CB_E_BAD_KEY, 113, 400, "malformed idempotency key")                 \
	X(CB_E_OVERLOADED, 200, 503, "overloaded")                             \
	X(CB_E_DEADLINE, 201, 503, "deadline would be missed")                 \
	X(CB_E_NO_SERVER, 202, 503, "no backend server available")             \
	X(CB_E_DRAINING, 203, 503, "entry host is shutting down")              \
	X(CB_E_QUEUE_FULL, 204, 429, "too many waiting requests")              \
	X(CB_E_STORE_DOWN, 205, 503, "platform store unavailable")             \
	X(CB_E_REGION_BUDGET, 206, 503, "inter-region byte budget exhausted")  \
	X(CB_E_CUSTOMER_REMOVED, 207, 404, "customer was removed")             \
	X(CB_E_UPSTREAM_LOST, 300, 502, "backend server connection lost")      \
	X(CB_E_UPSTREAM_TIMEOUT, 301, 504, "backend server timed out")         \
	X(CB_E_OWNER_GONE, 302, 502, "owner of the idempotency key is gone")   \
	X(CB_E_OWNER_UNREACHABLE, 303, 504,                                    \
	  "owner of the idempotency key unreachable")                          \
	X(CB_E_UPSTREAM_TRUNCATED, 304, 502, "backend server reply truncated") \
	X(CB_E_UPSTREAM_TOO_LARGE, 305, 502, "backend server reply too large") \
	X(CB_E_UPSTREAM_PROTOCOL, 306, 502, "backend server reply malformed")  \
	X(CB_E_PEER_LOST, 307, 502, "peer connection lost")                    \
	X(CB_E_ANSWER_FORGOTTEN, 308, 502, "answer is no longer kept")         \
	X(CB_E_UNAUTHORIZED, 400, 401, "missing or unknown token")             \
	X(CB_E_FORBIDDEN, 401, 403, "not allowed for this team")               \
	X(CB_E_CONFLICT, 402, 409, "section changed since it was read")        \
	X(CB_E_CHECK_FAILED, 403, 422, "document check failed")                \
	X(CB_E_NO_SECTION, 404, 404, "no such section")                        \
	X(CB_E_STORE_BEHIND, 405, 503,                                         \
	  "store is behind the document in force")                             \
	X(CB_E_CHANGE_UNKNOWN, 406, 504, "outcome of the change is unknown")   \
	X(CB_E_NEVER_FITS, 500, 422, "no data centre could hold the job")      \
	X(CB_E_NO_JOB, 501, 404, "no such job")                                \
	X(CB_E_BAD_JOB, 502, 400, "malformed job")                             \
	X(CB_E_HOPELESS, 503, 409, "job failed on several workers")            \
	X(CB_E_QUOTA, 504, 403, "customer quota exceeded")                     \
	X(CB_E_JOB_ENDED, 505, 409, "job has already ended")                   \
	X(CB_E_NO_LEADER, 506, 503, "data centre has no leader")               \
	X(CB_E_SETTINGS, 600, 500, "invalid settings")                         \
	X(CB_E_USAGE, 601, 400, "invalid command line")                        \
	X(CB_E_IO, 602, 503, "input or output error")                          \
	X(CB_E_INTERNAL, 603, 500, "internal error")                           \
	X(CB_E_PEER_PROTOCOL, 604, 502, "malformed peer message")              \
	X(CB_E_FRAME_TOO_LARGE, 605, 413, "frame too large")                   \
	X(CB_E_LIBRARY, 606, 500, "library call failed")                       \
	X(CB_E_TIMEOUT, 607, 504, "operation timed out")                       \
	X(CB_E_HISTORY_GONE, 608, 410, "history is no longer kept")

enum cb_result {
#define CB_RESULT_ENUM(name, num, http, text) name = num,
	CB_RESULTS(CB_RESULT_ENUM)
#undef CB_RESULT_ENUM
};

#define CB_ERROR (cb_error_quark())

GQuark cb_error_quark(void);
const char *cb_result_name(int code);
const char *cb_result_text(int code);
int cb_result_http(int code);
int cb_result_exit(int code);

#endif
