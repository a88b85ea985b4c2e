#include "control/leader_list.h"

#include <string.h>

#include <glib.h>

#define WORDS_PER_LEADER 4

static bool identity_parse(struct leader_identity *leader, char **words)
{
	if (!*words[0] || strlen(words[0]) >= sizeof(leader->host) ||
	    strlen(words[2]) >= sizeof(leader->peers.addr))
		return false;
	memset(leader, 0, sizeof(*leader));
	g_strlcpy(leader->host, words[0], sizeof(leader->host));
	leader->incarnation = g_ascii_strtoull(words[1], NULL, 10);
	g_strlcpy(leader->peers.addr, words[2], sizeof(leader->peers.addr));
	leader->peers.port =
		(int)CLAMP(g_ascii_strtoll(words[3], NULL, 10), 0, 65535);
	return true;
}

/* No host has this name and address, so that the leader never answers. */
static void set_unknown(struct leader_identity *leader)
{
	memset(leader, 0, sizeof(*leader));
	g_strlcpy(leader->host, "-", sizeof(leader->host));
	g_strlcpy(leader->peers.addr, "-", sizeof(leader->peers.addr));
}

/* Replaces the last two entries by one that never answers. */
static void merge_oldest(struct leader_list *list)
{
	list->count--;
	set_unknown(&list->at[list->count - 1]);
}

void leader_list_set_unknown(struct leader_list *list)
{
	list->count = 1;
	set_unknown(&list->at[0]);
}

bool leader_list_parse(struct leader_list *list, const char *text)
{
	char **words = g_strsplit(text, " ", -1);
	guint count = g_strv_length(words), i;
	bool ok = count > 0 && count % WORDS_PER_LEADER == 0;

	list->count = 0;
	for (i = 0; ok && i < count; i += WORDS_PER_LEADER) {
		if (list->count == LEADER_LIST_MAX)
			merge_oldest(list);
		ok = identity_parse(&list->at[list->count++], words + i);
	}
	if (!ok)
		leader_list_set_unknown(list);
	g_strfreev(words);
	return ok;
}

char *leader_list_format(const struct leader_list *list)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < list->count; i++) {
		const struct leader_identity *leader = &list->at[i];

		g_string_append_printf(text, "%s%s %" G_GUINT64_FORMAT " %s %d",
				       i ? " " : "", leader->host,
				       leader->incarnation, leader->peers.addr,
				       leader->peers.port);
	}
	return g_string_free(text, FALSE);
}

static bool same_place(const struct leader_identity *left,
		       const struct leader_identity *right)
{
	return strcmp(left->host, right->host) == 0 &&
	       strcmp(left->peers.addr, right->peers.addr) == 0;
}

void leader_list_remove(struct leader_list *list,
			const struct leader_identity *leader)
{
	int i, kept = 0;

	for (i = 0; i < list->count; i++)
		if (!same_place(&list->at[i], leader))
			list->at[kept++] = list->at[i];
	list->count = kept;
}

void leader_list_prepend(struct leader_list *list,
			 const struct leader_identity *leader)
{
	leader_list_remove(list, leader);
	if (list->count == LEADER_LIST_MAX)
		merge_oldest(list);
	memmove(list->at + 1, list->at,
		(size_t)list->count * sizeof(list->at[0]));
	list->at[0] = *leader;
	list->count++;
}
