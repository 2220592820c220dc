/** Precedes an IPv4 address on a socket that accepts both families. */
const mappedPrefix = "::ffff:";

/** Whether a connection comes from the VM of this node. */
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
