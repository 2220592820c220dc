import type { NodeEnvironment } from "../../runtime/node_environment.ts";

const radix = 36;
const randomRange = 2 ** 32;

/**
 * Creates a generator of call identifiers, which consist of the VM name, the start
 * time of the process, a random number and a counter.
 */
export function createCallIdentifierGenerator(
  vm: string,
  environment: Pick<NodeEnvironment, "clock" | "random">,
): () => string {
  const start = environment.clock.now().toString(radix);
  const salt = Math.floor(environment.random.next() * randomRange)
    .toString(radix);
  let counter = 0;
  return () => {
    counter += 1;
    return `${vm}-${start}-${salt}-${counter.toString(radix)}`;
  };
}
