// The package has types for its index only. Its parts are imported one by one, because the index loads the
// whole library, which costs an instance a fifth of its memory.
declare module "undici/lib/dispatcher/pool.js" {
    import { Pool } from "undici";
    export default Pool;
}

declare module "undici/lib/dispatcher/dispatcher.js" {
    const constructor: { readonly prototype: object };
    export default constructor;
}

declare module "undici/lib/api/index.js" {
    const methods: object;
    export default methods;
}
