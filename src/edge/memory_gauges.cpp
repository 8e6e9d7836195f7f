#include "edge/memory_gauges.h"

#include "boragebridge/metrics.h"
#include "store/object_mirror.h"

#include <malloc.h>

namespace boragebridge {

auto setMemoryGauges(MetricRegistry &metrics, const ObjectMirror &mirror)
    -> void {
  auto set = [&](const char *name, const char *help, std::size_t n) {
    metrics.gauge(name, help).set(static_cast<double>(n));
  };
  const auto heap = ::mallinfo2();
  set("edge_heap_used_bytes", "Heap that is in use",
      heap.uordblks + heap.hblkhd);
  set("edge_heap_free_bytes", "Heap that is free, but still of the process",
      heap.fordblks);
  const auto usage = mirror.usage();
  set("edge_mirror_objects", "Objects in the mirror", usage.Objects);
  set("edge_mirror_object_bytes", "Size of the objects in the mirror",
      usage.ObjectBytes);
  set("edge_mirror_removals", "Removals kept for readers of the mirror",
      usage.Removals);
  set("edge_mirror_removal_bytes",
      "Memory for the removals kept for readers of the mirror",
      usage.RemovalBytes);
}

} // namespace boragebridge
