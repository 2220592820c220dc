import type { Pool } from "undici";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { CallPools } from "./call_pools.ts";
import { createCallPool } from "./create_call_pool.ts";

/** Creates an empty set of pools; a pool comes into being at its first use. */
export function createCallPools(): CallPools {
  const pools = new Map<string, Pool>();
  const get = (address: NetworkAddress): Pool => {
    const name = `${address.host}:${address.port}`;
    const existing = pools.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created = createCallPool(address, { connections: null });
    pools.set(name, created);
    return created;
  };
  const end = ([name, pool]: readonly [string, Pool]) => {
    pools.delete(name);
    pool.close().catch(() => pool.destroy());
  };
  return {
    get,
    renew: ({ host, port }) => {
      const name = `${host}:${port}`;
      const pool = pools.get(name);
      if (pool !== undefined) {
        end([name, pool]);
      }
    },
    keepOnly: (addresses) => {
      const names = new Set(
        addresses.map(({ host, port }) => `${host}:${port}`),
      );
      addresses.forEach(get);
      Array.from(pools)
        .filter(([name]) => !names.has(name))
        .forEach(end);
    },
    destroy: async () => {
      await Promise.all(
        Array.from(pools.values()).map((pool) => pool.destroy()),
      );
      pools.clear();
    },
  };
}
