import createHasher from "xxhash-wasm";

const hasher = await createHasher();

/** Returns a 32-bit xxHash of `text`, the same on every node. */
export function hashText(text: string): number {
  return hasher.h32(text);
}
