// FNV-1a with the finalizer of MurmurHash3: few operations, since every node
// scores all hosts for all organisations when a host comes or goes.
const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;
const finalizers = [0x85ebca6b, 0xc2b2ae35] as const;

/**
 * Returns the rendezvous score of a host for an organisation, a 32-bit number
 * that is the same on every node.
 */
export function getHostScore(organisationName: string, host: string): number {
  const text = `${organisationName}\n${host}`;
  let hash = offsetBasis;
  // A loop, since an array of the characters would cost more than the hash.
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), prime);
  }
  hash = Math.imul(hash ^ (hash >>> 16), finalizers[0]);
  hash = Math.imul(hash ^ (hash >>> 13), finalizers[1]);
  return (hash ^ (hash >>> 16)) >>> 0;
}
