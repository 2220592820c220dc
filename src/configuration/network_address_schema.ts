import * as z from "zod";
import { formatAddress } from "../runtime/format_address.ts";
import { tryParseAddress } from "../runtime/try_parse_address.ts";

/** The schema of an address as text: an IP address and a port. The parsed value remains text. */
export const networkAddressSchema = z.string({ error: describeAddressFormat })
  .refine(
    (text) => {
      const address = tryParseAddress(text);
      return address !== undefined && address.port > 0 &&
        formatAddress(address) === text;
    },
    { error: describeAddressFormat },
  );

function describeAddressFormat(): string {
  return 'an IP address and a port from 1 to 65535, for example "127.0.0.1:9001"';
}
