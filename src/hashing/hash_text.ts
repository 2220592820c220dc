import createHasher from "xxhash-wasm";

const hasher = await createHasher();

/** Returns the 32-bit xxHash of `text`, which is the same on every node. */
export function hashText(text: string): number {
  return hasher.h32(text);
}
