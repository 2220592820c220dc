import xxhash from "xxhash-wasm";

const { h64 } = await xxhash();

/**
 * Returns the rendezvous hash of a backend server for a key; the server with
 * the highest score owns the key.
 */
export function getRendezvousScore(key: string, backendServer: string): bigint {
  return h64(`${key}\n${backendServer}`);
}
