#include "address_book.h"

#include <string.h>

#include "lws_str.h"

static bool accepts_instances(const char *addr)
{
	return *addr && strncmp(addr, FLEET_FORWARD_ONLY,
				strlen(FLEET_FORWARD_ONLY)) != 0;
}

static uint32_t position_of(const struct address_book *book, const char *addr)
{
	uint32_t at = 0;

	while (at < book->count && strcmp(book->addrs[at], addr) != 0)
		at++;
	return at;
}

void address_book_add(struct address_book *book, const char *addr)
{
	uint32_t at = position_of(book, addr);

	if (!accepts_instances(addr))
		return;
	if (at == ADDRESS_BOOK_MAX)
		at--;
	else if (at == book->count)
		book->count++;
	memmove(book->addrs[1], book->addrs[0], at * sizeof(book->addrs[0]));
	LWS_STR_COPY(book->addrs[0], addr);
}

void address_book_add_members(struct address_book *book,
			      const struct fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->instances_count; i++)
		address_book_add(book, fleet->instances[i].addr);
}
