#ifndef ADDRESS_BOOK_H
#define ADDRESS_BOOK_H

#include <stdint.h>

#include "fleet.h"

/**
 * DOC: Addresses at which a control instance looks for other ones.
 *
 * The seeds in the settings and the members in the applied state are not
 * enough: entries of the replicated log are applied only once a leader has
 * committed them, so voters that restart together must know each other's
 * addresses before that; and an instance that was down has left the state, and
 * may know nothing but seeds that are in the same position. The book holds the
 * members and, up to its size, the addresses that were members most recently.
 */

#define ADDRESS_BOOK_MAX 32

/**
 * struct address_book - addresses of control instances
 * @count: number of @addrs
 * @addrs: addresses, the one that was a member most recently first
 */
struct address_book {
	uint32_t count;
	char addrs[ADDRESS_BOOK_MAX][FLEET_ADDR_MAX];
};

/**
 * address_book_add() - record that an address belongs to a member
 * @book: book
 * @addr: "ip:port"; moves to the front, the last one is dropped if the book is
 *        full. Ignored if it is empty or begins with FLEET_FORWARD_ONLY.
 */
void address_book_add(struct address_book *book, const char *addr);

/**
 * address_book_add_members() - record the addresses of all members
 * @book: book
 * @fleet: state
 */
void address_book_add_members(struct address_book *book,
			      const struct fleet *fleet);

#endif
