/**
 * The greatest share of the VMs listed before (0 to 1) that a plausible list
 * may lack.
 */
const maxPlausibleLossShare = 0.5;

/**
 * Whether a list of VMs lacks so many of the VMs listed before that a fault of
 * the platform is likelier than their removal. If an empty list were accepted,
 * every node would be left without a backend server, and a call could be run
 * again under its idempotency key although the process that ran it is alive.
 */
export function isImplausibleList(
  previousVms: readonly string[],
  listed: ReadonlySet<string>,
): boolean {
  const lost = previousVms.filter((vm) => !listed.has(vm));
  return lost.length > previousVms.length * maxPlausibleLossShare;
}
