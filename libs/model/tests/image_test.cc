#include "model/image.h"

#include <catch2/catch.hpp>
#include <string>

namespace pomelohall {
namespace {

class image_fixture {
 protected:
  static configuration Document(int services, int within_ms = 100) {
    configuration document;
    for (int i = 0; i < services; ++i) {
      const std::string name = "s" + std::to_string(i);
      document.services.push_back({name});
      document.classes.push_back({.name = name + "-read",
                                  .service = name,
                                  .kind = class_kind::kLookup,
                                  .target = {.within_ms = within_ms}});
      document.routes.push_back({.path_prefix = "/" + name,
                                 .method = "",
                                 .work_class = name + "-read"});
    }
    return document;
  }

  static config_image_ptr Build(const configuration& document,
                                const config_image* previous) {
    auto image = BuildImage(document, previous, "change");
    REQUIRE(image.has_value());
    return *image;
  }
};

}  // namespace

TEST_CASE_METHOD(image_fixture, "Image_RoundTrip_KeepsWholeDocument") {
  const auto image = Build(Document(100), nullptr);
  const auto document = ImageDocument(*image);
  REQUIRE(document.has_value());
  CHECK(document->services.size() == 100);
  CHECK(document->routes.size() == 100);
  const auto head = ParseHead(FormatHead(image->head));
  REQUIRE(head.has_value());
  CHECK(*head == image->head);
}

// Guards against sending the whole configuration for a small change.
TEST_CASE_METHOD(image_fixture, "Delta_OneServiceChanged_CarriesOneSection") {
  const auto first = Build(Document(100), nullptr);
  auto changed = Document(100);
  changed.classes[7].target.within_ms = 250;
  const auto second = Build(changed, first.get());
  const auto delta = MakeDelta(*second, first->head.version);
  CHECK(delta.items.size() == 1);
  const auto applied = ApplyDelta(*first, delta);
  REQUIRE(applied.has_value());
  CHECK((*applied)->head == second->head);
}

// Guards against applying a delta to an older version than its base.
TEST_CASE_METHOD(image_fixture, "Delta_BaseAboveHeld_IsRefused") {
  const auto first = Build(Document(10), nullptr);
  const auto second = Build(Document(11), first.get());
  const auto third = Build(Document(12), second.get());
  CHECK_FALSE(ApplyDelta(*first, MakeDelta(*third, 2)).has_value());
}

// Guards against applying a version partially: a daemon must hold a version
// whole or not at all (see the guarantee whole_version in tests/matrix).
TEST_CASE_METHOD(image_fixture, "Delta_SectionLeftOut_IsRefused") {
  const auto first = Build(Document(10), nullptr);
  const auto second = Build(Document(80, 200), first.get());
  auto delta = MakeDelta(*second, first->head.version);
  delta.items.pop_back();
  CHECK_FALSE(ApplyDelta(*first, delta).has_value());
}

TEST_CASE_METHOD(image_fixture, "Delta_SectionCorrupted_IsRefused") {
  const auto first = Build(Document(10), nullptr);
  auto delta = MakeDelta(*first, 0);
  delta.items[0].bytes = std::make_shared<const std::string>("{}");
  CHECK_FALSE(ApplyDelta(*EmptyImage(), delta).has_value());
}

}  // namespace pomelohall
