import type { Pool } from "undici";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { CallPools } from "./call_pools.ts";
import { createCallPool } from "./create_call_pool.ts";

/** Creates an empty set of pools; each pool is created at its first use. */
export function createCallPools(): CallPools {
  const pools = new Map<string, Pool>();
  const get = (address: NetworkAddress): Pool => {
    const key = `${address.host}:${address.port}`;
    const existing = pools.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const created = createCallPool(address, { connections: null });
    pools.set(key, created);
    return created;
  };
  const closePool = ([key, pool]: readonly [string, Pool]) => {
    pools.delete(key);
    pool.close().catch(() => pool.destroy());
  };
  return {
    get,
    renew: ({ host, port }) => {
      const key = `${host}:${port}`;
      const pool = pools.get(key);
      if (pool !== undefined) {
        closePool([key, pool]);
      }
    },
    keepOnly: (addresses) => {
      const keys = new Set(
        addresses.map(({ host, port }) => `${host}:${port}`),
      );
      addresses.forEach(get);
      Array.from(pools)
        .filter(([key]) => !keys.has(key))
        .forEach(closePool);
    },
    destroy: async () => {
      await Promise.all(
        Array.from(pools.values()).map((pool) => pool.destroy()),
      );
      pools.clear();
    },
  };
}
