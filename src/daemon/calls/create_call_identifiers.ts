import type { NodeEnvironment } from "../../runtime/node_environment.ts";

const radix = 36;
const randomParts = 2 ** 32;

/** Returns a function that returns a new call identifier: VM, start of the process, and a counter. */
export function createCallIdentifiers(
  vm: string,
  environment: Pick<NodeEnvironment, "clock" | "random">,
): () => string {
  const start = environment.clock.now().toString(radix);
  const salt = Math.floor(environment.random.next() * randomParts)
    .toString(radix);
  let counter = 0;
  return () => {
    counter += 1;
    return `${vm}-${start}-${salt}-${counter.toString(radix)}`;
  };
}
