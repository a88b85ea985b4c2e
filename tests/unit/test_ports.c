#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/standins/ports.h"
#include "tests/unit/run.h"
#include "wire/sock.h"

/* Ports that the tests hand to the programs that they start. */

/* As the kernel does when it chooses a port for another process. */
static bool others_can_bind(int port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool bound =
		bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;

	close(fd);
	return bound;
}

START_TEST(port_stays_reserved)
{
	int port = ports_reserve();

	ck_assert_int_gt(port, 0);
	ck_assert(!others_can_bind(port));
}
END_TEST

START_TEST(server_listens_on_a_reserved_port_and_again)
{
	int port = ports_reserve();
	int fd = sock_listen("127.0.0.1", port);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(sock_listen("127.0.0.1", port), -1);
	close(fd);
	ck_assert(!others_can_bind(port));
	fd = sock_listen("127.0.0.1", port);
	ck_assert_int_ge(fd, 0);
	close(fd);
}
END_TEST

START_TEST(row_passes_over_busy_ports)
{
	int first = ports_reserve_row(3);
	int second = ports_reserve_row(3);
	int i;

	ck_assert_int_gt(first, 0);
	ck_assert_int_gt(second, 0);
	ck_assert_int_ge(abs(second - first), 3);
	for (i = 0; i < 3; i++) {
		ck_assert(!others_can_bind(first + i));
		ck_assert(!others_can_bind(second + i));
	}
	ck_assert_int_eq(ports_reserve_row(0), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("ports");

	tcase_add_test(tc, port_stays_reserved);
	tcase_add_test(tc, server_listens_on_a_reserved_port_and_again);
	tcase_add_test(tc, row_passes_over_busy_ports);
	return run_case("ports", tc);
}
