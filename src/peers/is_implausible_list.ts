/** A list that lacks more than this part of the VMs listed before (0 to 1) is doubted. */
const plausibleLoss = 0.5;

/**
 * Whether a list of VMs lacks so many of the VMs listed before that a fault of
 * the platform is likelier than their end. An empty list taken at its word
 * would leave every node without a backend server, and would let a key run
 * again although the process that ran it is alive.
 */
export function isImplausibleList(
  formerVms: readonly string[],
  listed: ReadonlySet<string>,
): boolean {
  const lost = formerVms.filter((vm) => !listed.has(vm));
  return lost.length > formerVms.length * plausibleLoss;
}
