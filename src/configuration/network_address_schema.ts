import * as z from "zod";
import { formatAddress } from "../runtime/format_address.ts";
import { tryParseAddress } from "../runtime/try_parse_address.ts";

/** Checks the published form of an address: an IP number and a port. The form is kept as text in the document. */
export const networkAddressSchema = z.string({ error: describeAllowed }).refine(
  (text) => {
    const address = tryParseAddress(text);
    return address !== undefined && address.port > 0 &&
      formatAddress(address) === text;
  },
  { error: describeAllowed },
);

function describeAllowed(): string {
  return 'an IP number and a port from 1 to 65535, for example "127.0.0.1:9001"';
}
