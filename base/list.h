#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

/* Circular doubly linked list whose nodes live inside the entries. */
struct list_head {
	struct list_head *next;
	struct list_head *prev;
};

#define container_of(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

#define list_entry(ptr, type, member) container_of(ptr, type, member)

#define list_first_entry(head, type, member) \
	list_entry((head)->next, type, member)

#define list_for_each_entry(pos, head, member)                         \
	for (pos = list_entry((head)->next, __typeof__(*pos), member); \
	     &pos->member != (head);                                   \
	     pos = list_entry(pos->member.next, __typeof__(*pos), member))

/* The current entry may be removed while iterating. */
#define list_for_each_entry_safe(pos, tmp, head, member)                  \
	for (pos = list_entry((head)->next, __typeof__(*pos), member),    \
	    tmp = list_entry(pos->member.next, __typeof__(*pos), member); \
	     &pos->member != (head); pos = tmp,                           \
	    tmp = list_entry(tmp->member.next, __typeof__(*tmp), member))

static inline void list_init(struct list_head *head)
{
	head->next = head;
	head->prev = head;
}

static inline bool list_empty(const struct list_head *head)
{
	return head->next == head;
}

/* Inserts node right after head. */
static inline void list_add(struct list_head *node, struct list_head *head)
{
	node->next = head->next;
	node->prev = head;
	head->next->prev = node;
	head->next = node;
}

/* Inserts node right before head, at the tail of the list. */
static inline void list_add_tail(struct list_head *node, struct list_head *head)
{
	list_add(node, head->prev);
}

/* The removed node is reinitialized, so removing it again is harmless. */
static inline void list_del(struct list_head *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	list_init(node);
}

#endif
