/** Precedes an IPv4 address on a socket that accepts both families. */
const mappedPrefix = "::ffff:";

/**
 * Whether a connection comes from the VM of this node. Callers on other VMs and
 * outside of the mesh have other addresses, so such a connection is made by the
 * backend server of this VM. Other programs on the VM that make calls look alike.
 */
export function isOwnVmConnection(
  remoteAddress: string | undefined,
  options: {
    /** The address of the VM. */
    readonly host: string;
  },
): boolean {
  if (remoteAddress === undefined) return false;
  const address = remoteAddress.startsWith(mappedPrefix)
    ? remoteAddress.slice(mappedPrefix.length)
    : remoteAddress;
  return address === options.host;
}
