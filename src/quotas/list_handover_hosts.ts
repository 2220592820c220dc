/** A longer chain of new hosts means that most hosts were restarted together. */
const hostsMaximum = 4;

/**
 * Returns the hosts that may grant as owner while a node starts that is the
 * owner by its view: the deputy, to which the process before may have leased the
 * quota, and if this host is new, those that follow in the ranking up to the
 * first that is not new. That one is the owner in views without the new hosts.
 */
export function listHandoverHosts(
  ranking: readonly string[],
  newHosts: ReadonlySet<string>,
): readonly string[] {
  const firstOld = ranking.findIndex((host, index) =>
    index > 0 && (!newHosts.has(host) || !newHosts.has(ranking[0] ?? ""))
  );
  const end = firstOld < 0 ? hostsMaximum : Math.min(firstOld, hostsMaximum);
  return ranking.slice(1, end + 1);
}
